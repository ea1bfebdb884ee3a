#include "membership/VmDirectory.h"

#include <set>

namespace anvildoor {

vm_directory::vm_directory(event_loop& aLoop,
                           vm_list_port& aPort,
                           std::string aDataCentre)
  : mLoop(aLoop)
  , mPort(aPort)
  , mDataCentre(std::move(aDataCentre))
{
}

void vm_directory::AddListener(listener aListener)
{
  mListeners.push_back(std::move(aListener));
}

void vm_directory::Start(duration aPeriod)
{
  Poll();
  RunEvery(mLoop, aPeriod, [this] { Poll(); });
}

void vm_directory::Poll()
{
  uint64_t since = 0;
  {
    std::lock_guard lock(mMutex);
    if (mPolling) {
      return;
    }
    mPolling = true;
    since = mVersion;
  }
  mPort.List(mDataCentre, since, [this, since](result<vm_list_delta> aAnswer) {
    {
      std::lock_guard lock(mMutex);
      mPolling = false;
      if (!aAnswer || (aAnswer->mVersion == since && since != 0)) {
        return;
      }
      mVersion = aAnswer->mVersion;
      for (const auto& record : aAnswer->mChanged) {
        mRecords.insert_or_assign(record.mId, record);
      }
      for (const auto& id : aAnswer->mRemoved) {
        mRecords.erase(id);
      }
    }
    for (const auto& item : mListeners) {
      item();
    }
  });
}

std::vector<vm_record> vm_directory::List(vm_kind aKind,
                                          const std::string& aDataCentre) const
{
  std::lock_guard lock(mMutex);
  std::vector<vm_record> records;
  for (const auto& [id, record] : mRecords) {
    if (record.mKind == aKind && record.mDataCentre == aDataCentre) {
      records.push_back(record);
    }
  }
  return records;
}

std::optional<vm_record> vm_directory::Find(const std::string& aId) const
{
  std::lock_guard lock(mMutex);
  const auto found = mRecords.find(aId);
  return found == mRecords.end() ? std::nullopt
                                 : std::optional<vm_record>(found->second);
}

std::vector<std::string> vm_directory::DataCentres() const
{
  std::lock_guard lock(mMutex);
  std::set<std::string> names;
  for (const auto& [id, record] : mRecords) {
    if (record.mKind == vm_kind::kEntry) {
      names.insert(record.mDataCentre);
    }
  }
  return { names.begin(), names.end() };
}

} // namespace anvildoor
