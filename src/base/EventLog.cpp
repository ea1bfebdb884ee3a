#include "base/EventLog.h"

#include <glog/logging.h>

namespace anvildoor {

void glog_event_log::OnWrite(const std::string& aLine)
{
  LOG(INFO) << aLine;
}

} // namespace anvildoor
