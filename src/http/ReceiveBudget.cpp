#include "http/ReceiveBudget.h"

#include <cassert>

namespace anvildoor {

receive_budget::receive_budget(const receive_limits& aLimits)
  : mLimits(aLimits)
{
}

std::optional<receive_budget::number> receive_budget::Open(give_way aGiveWay)
{
  if (mConnections.size() >= mLimits.mConnections) {
    ++mRefusals.mConnections;
    const auto& candidates = mIdle.empty() ? mReceiving : mIdle;
    if (candidates.empty()) {
      return std::nullopt;
    }
    Leave(candidates.begin()->second);
  }
  const auto added = ++mLastNumber;
  mConnections[added].mGiveWay = std::move(aGiveWay);
  Enter(added, stage::kIdle);
  return added;
}

void receive_budget::BeginRequest(number aConnection)
{
  Enter(aConnection, stage::kReceiving);
}

bool receive_budget::Hold(number aConnection, size_t aBytes)
{
  auto& holder = mConnections.at(aConnection);
  mHeldBytes += aBytes - holder.mBytes;
  holder.mBytes = aBytes;
  while (mHeldBytes > mLimits.mBytes && mHeldBytes > aBytes && !mReceiving.empty()) {
    const auto first = mReceiving.begin()->second;
    ++mRefusals.mRequests;
    if (first == aConnection) {
      mHeldBytes -= holder.mBytes;
      holder.mBytes = 0;
      Enter(aConnection, stage::kLeaving);
      return false;
    }
    Leave(first);
  }
  return true;
}

void receive_budget::BeginServing(number aConnection)
{
  Enter(aConnection, stage::kServing);
}

void receive_budget::BecomeIdle(number aConnection)
{
  Hold(aConnection, 0);
  Enter(aConnection, stage::kIdle);
}

void receive_budget::Close(number aConnection)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return;
  }
  mHeldBytes -= found->second.mBytes;
  if (auto* const left = OrderOf(found->second.mStage)) {
    left->erase({ found->second.mSince, aConnection });
  }
  mConnections.erase(found);
}

void receive_budget::Enter(number aConnection, stage aStage)
{
  auto& moved = mConnections.at(aConnection);
  if (auto* const left = OrderOf(moved.mStage)) {
    left->erase({ moved.mSince, aConnection });
  }
  moved.mStage = aStage;
  moved.mSince = ++mLastStage;
  if (auto* const entered = OrderOf(aStage)) {
    entered->insert({ moved.mSince, aConnection });
  }
}

void receive_budget::Leave(number aConnection)
{
  const auto giveWay = std::move(mConnections.at(aConnection).mGiveWay);
  Close(aConnection);
  giveWay();
}

receive_budget::order* receive_budget::OrderOf(stage aStage)
{
  switch (aStage) {
    case stage::kIdle:
      return &mIdle;
    case stage::kReceiving:
      return &mReceiving;
    case stage::kServing:
    case stage::kLeaving:
      return nullptr;
  }
  assert(false);
  return nullptr;
}

} // namespace anvildoor
