#include "support/LogLines.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace anvildoor {

std::string FindLine(const fake_installation& aSite,
                     const std::string& aEvent,
                     const std::string& aText)
{
  const auto prefix = "event=" + aEvent + " ";
  const auto& lines = aSite.mLog.mLines;
  const auto found = std::find_if(lines.begin(), lines.end(), [&](const auto& aLine) {
    return aLine.starts_with(prefix) && aLine.find(aText) != std::string::npos;
  });
  return found == lines.end() ? std::string() : *found;
}

size_t CountEvents(const fake_installation& aSite, const std::string& aEvent)
{
  return aSite.mLog.CountLines("event=" + aEvent + " ");
}

std::string Field(const std::string& aLine, const std::string& aKey)
{
  std::istringstream fields(aLine);
  for (std::string field; fields >> field;) {
    if (field.starts_with(aKey + "=")) {
      return field.substr(aKey.size() + 1);
    }
  }
  return "";
}

int64_t Number(const std::string& aLine, const std::string& aKey)
{
  const auto text = Field(aLine, aKey);
  if (text.empty()) {
    throw std::invalid_argument("no field " + aKey + " in \"" + aLine + "\"");
  }
  return std::stoll(text);
}

} // namespace anvildoor
