#include "rpc/Convert.h"

namespace anvildoor {

platform::Vm ToMessage(const vm_record& aRecord)
{
  platform::Vm message;
  message.set_id(aRecord.mId);
  message.set_kind(static_cast<int32_t>(aRecord.mKind));
  message.set_data_centre(aRecord.mDataCentre);
  message.set_address(aRecord.mAddress);
  message.set_rack(aRecord.mRack);
  message.set_accelerators(aRecord.mCapacity.mAccelerators);
  message.set_cores(aRecord.mCapacity.mCores);
  message.set_memory_mb(aRecord.mCapacity.mMemoryMb);
  message.set_slots(aRecord.mSlots);
  message.set_connections(aRecord.mConnections);
  message.set_leaving(aRecord.mLeaving);
  return message;
}

vm_record FromMessage(const platform::Vm& aMessage)
{
  vm_record record;
  record.mId = aMessage.id();
  record.mKind = static_cast<vm_kind>(aMessage.kind());
  record.mDataCentre = aMessage.data_centre();
  record.mAddress = aMessage.address();
  record.mRack = aMessage.rack();
  record.mCapacity = { aMessage.accelerators(),
                       aMessage.cores(),
                       aMessage.memory_mb() };
  record.mSlots = aMessage.slots();
  record.mConnections = aMessage.connections();
  record.mLeaving = aMessage.leaving();
  return record;
}

platform::Member ToMessage(const member_report& aReport)
{
  platform::Member message;
  message.set_attempt(aReport.mAttempt);
  message.set_job(aReport.mJob);
  message.set_state(static_cast<int32_t>(aReport.mState));
  message.set_known(aReport.mKnown);
  message.set_whole(aReport.mHoldsWholeGang);
  message.set_result(aReport.mResult);
  message.set_reason(aReport.mReason);
  message.set_checkpoint(aReport.mCheckpoint);
  return message;
}

member_report FromMessage(const platform::Member& aMessage)
{
  return { aMessage.attempt(),
           aMessage.job(),
           static_cast<member_state>(aMessage.state()),
           aMessage.known(),
           aMessage.whole(),
           aMessage.result(),
           aMessage.reason(),
           aMessage.checkpoint() };
}

platform::PrepareRequest ToMessage(const std::string& aWorker,
                                   const prepare_request& aRequest)
{
  platform::PrepareRequest message;
  message.set_worker(aWorker);
  message.set_epoch(aRequest.mEpoch);
  message.set_attempt(aRequest.mAttempt);
  message.set_job(aRequest.mJob);
  message.set_first_task(aRequest.mFirstTask);
  message.set_tasks(aRequest.mTasks);
  message.set_gang_tasks(aRequest.mGangTasks);
  message.set_accelerators(aRequest.mPerTask.mAccelerators);
  message.set_cores(aRequest.mPerTask.mCores);
  message.set_memory_mb(aRequest.mPerTask.mMemoryMb);
  message.set_payload(aRequest.mPayload);
  message.set_checkpoint(aRequest.mCheckpoint);
  message.set_hold_ms(aRequest.mHoldDuration.count());
  return message;
}

prepare_request FromMessage(const platform::PrepareRequest& aMessage)
{
  prepare_request request;
  request.mEpoch = aMessage.epoch();
  request.mAttempt = aMessage.attempt();
  request.mJob = aMessage.job();
  request.mFirstTask = aMessage.first_task();
  request.mTasks = aMessage.tasks();
  request.mGangTasks = aMessage.gang_tasks();
  request.mPerTask = { aMessage.accelerators(),
                       aMessage.cores(),
                       aMessage.memory_mb() };
  request.mPayload = aMessage.payload();
  request.mCheckpoint = aMessage.checkpoint();
  request.mHoldDuration = duration(aMessage.hold_ms());
  return request;
}

platform::RenewRequest ToMessage(const std::string& aWorker,
                                 const renew_request& aRequest)
{
  platform::RenewRequest message;
  message.set_worker(aWorker);
  message.set_epoch(aRequest.mEpoch);
  message.set_since(aRequest.mSinceSequence);
  message.set_lease_ms(aRequest.mLease.count());
  for (const auto& attempt : aRequest.mBrokenAttempts) {
    message.add_broken_attempts(attempt);
  }
  return message;
}

renew_request FromMessage(const platform::RenewRequest& aMessage)
{
  return { aMessage.epoch(),
           aMessage.since(),
           duration(aMessage.lease_ms()),
           { aMessage.broken_attempts().begin(), aMessage.broken_attempts().end() } };
}

platform::RenewReply ToMessage(const renew_reply& aReply)
{
  platform::RenewReply message;
  message.set_incarnation(aReply.mIncarnation);
  message.set_sequence(aReply.mSequence);
  message.set_full(aReply.mIsFull);
  for (const auto& member : aReply.mMembers) {
    *message.add_members() = ToMessage(member);
  }
  return message;
}

renew_reply FromMessage(const platform::RenewReply& aMessage)
{
  renew_reply reply{ aMessage.incarnation(), aMessage.sequence(), aMessage.full(), {} };
  for (const auto& member : aMessage.members()) {
    reply.mMembers.push_back(FromMessage(member));
  }
  return reply;
}

peer::State ToMessage(const peer_state& aState)
{
  peer::State message;
  message.set_vm(aState.mVm);
  message.set_incarnation(aState.mIncarnation);
  message.set_data_centre(aState.mDataCentre);
  message.set_address(aState.mAddress);
  message.set_leaving(aState.mLeaving);
  message.set_config_version(aState.mConfigVersion);
  message.set_scheduler_epoch(aState.mSchedulerEpoch);
  message.set_scheduler_vm(aState.mSchedulerVm);
  for (const auto& attempt : aState.mBrokenAttempts) {
    message.add_broken_attempts(attempt);
  }
  for (const auto& upstream : aState.mLeavingUpstreams) {
    message.add_leaving_upstreams(upstream);
  }
  return message;
}

peer_state FromMessage(const peer::State& aMessage)
{
  return { aMessage.vm(),
           aMessage.incarnation(),
           aMessage.data_centre(),
           aMessage.address(),
           aMessage.leaving(),
           aMessage.config_version(),
           aMessage.scheduler_epoch(),
           aMessage.scheduler_vm(),
           { aMessage.broken_attempts().begin(), aMessage.broken_attempts().end() },
           { aMessage.leaving_upstreams().begin(),
             aMessage.leaving_upstreams().end() } };
}

peer::Call ToMessage(const forwarded_call& aCall)
{
  peer::Call message;
  message.set_method(aCall.mMethod);
  message.set_target(aCall.mTarget);
  message.set_body(aCall.mBody);
  message.set_token(aCall.mToken);
  message.set_idempotency_key(aCall.mIdempotencyKey);
  message.set_if_match(aCall.mIfMatch);
  message.set_timeout_ms(aCall.mTimeout.count());
  return message;
}

forwarded_call FromMessage(const peer::Call& aMessage)
{
  forwarded_call call;
  call.mMethod = aMessage.method();
  call.mTarget = aMessage.target();
  call.mBody = aMessage.body();
  call.mToken = aMessage.token();
  call.mIdempotencyKey = aMessage.idempotency_key();
  call.mIfMatch = aMessage.if_match();
  call.mTimeout = duration(aMessage.timeout_ms());
  return call;
}

peer::WorkerStatuses ToMessage(const worker_status_report& aStatuses)
{
  peer::WorkerStatuses message;
  message.set_reporter(aStatuses.mReporter);
  message.set_epoch(aStatuses.mEpoch);
  for (const auto& status : aStatuses.mStatuses) {
    auto* item = message.add_statuses();
    item->set_worker(status.mWorker);
    item->set_lost(status.mLost);
    *item->mutable_reply() = ToMessage(status.mReply);
  }
  return message;
}

worker_status_report FromMessage(const peer::WorkerStatuses& aMessage)
{
  worker_status_report statuses{ aMessage.reporter(), aMessage.epoch(), {} };
  for (const auto& item : aMessage.statuses()) {
    statuses.mStatuses.push_back(
      { item.worker(), item.lost(), FromMessage(item.reply()) });
  }
  return statuses;
}

} // namespace anvildoor
