#pragma once

#include "gang/WorkerPort.h"
#include "membership/PeerPort.h"
#include "membership/VmDirectory.h"
#include "peer.pb.h"
#include "platform.pb.h"

namespace anvildoor {

// Conversions between the library's types and their protobuf messages. All functions
// are pure.

platform::Vm ToMessage(const vm_record& aRecord);
vm_record FromMessage(const platform::Vm& aMessage);

platform::Member ToMessage(const member_report& aReport);
member_report FromMessage(const platform::Member& aMessage);

platform::PrepareRequest ToMessage(const std::string& aWorker,
                                   const prepare_request& aRequest);
prepare_request FromMessage(const platform::PrepareRequest& aMessage);

platform::RenewRequest ToMessage(const std::string& aWorker,
                                 const renew_request& aRequest);
renew_request FromMessage(const platform::RenewRequest& aMessage);

platform::RenewReply ToMessage(const renew_reply& aReply);
renew_reply FromMessage(const platform::RenewReply& aMessage);

peer::State ToMessage(const peer_state& aState);
peer_state FromMessage(const peer::State& aMessage);

peer::Call ToMessage(const forwarded_call& aCall);
forwarded_call FromMessage(const peer::Call& aMessage);

peer::WorkerStatuses ToMessage(const worker_status_report& aStatuses);
worker_status_report FromMessage(const peer::WorkerStatuses& aMessage);

} // namespace anvildoor
