#include "routing/RequestFilter.h"

#include <cassert>

namespace anvildoor {

filter_chain::filter_chain(std::vector<std::unique_ptr<request_filter>> aFilters)
  : mFilters(std::move(aFilters))
{
  assert(!mFilters.empty());
  for (size_t i = 1; i < mFilters.size(); ++i) {
    mFilters[i - 1]->SetNext(mFilters[i].get());
  }
}

void filter_chain::Handle(const shared_request& aRequest, answer_done aDone)
{
  mFilters.front()->Handle(aRequest, std::move(aDone));
}

} // namespace anvildoor
