#include "jobs/JobOwners.h"
#include "platform/JobRequestHandler.h"
#include "scheduler/StoreKeys.h"
#include "support/FakeInstallation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iterator>

using namespace anvildoor;

namespace {

/** The workspaces of a policy. */
using workspaces = std::vector<workspace_rule>;

constexpr size_t kVms = 3;
constexpr size_t kWorkers = 4;
const std::string kJob = "00000000000000d1";

/** Returns the policy of the installation with other workspaces. */
fleet_policy PolicyWith(uint64_t aVersion, const workspaces& aWorkspaces)
{
  auto policy = fake_installation::MakePolicy(aVersion);
  policy.mWorkspaces = aWorkspaces;
  return policy;
}

accepted_job JobOf(const std::string& aWorkspace, const std::vector<std::string>& aKeys)
{
  accepted_job job;
  job.mId = kJob;
  job.mQueue = "batch";
  job.mWorkspace = aWorkspace;
  std::transform(
    aKeys.begin(), aKeys.end(), std::back_inserter(job.mKeyDigests), DigestOfKey);
  return job;
}

/** Calls the installation as its clients do, by requests with a key. */
class client
{
public:
  explicit client(fake_installation& aSite)
    : mSite(aSite)
  {
  }

  /** Returns the status of the answer; 0 if none came in time. */
  unsigned Call(const std::string& aVm,
                const std::string& aMethod,
                const std::string& aTarget,
                const std::string& aKey)
  {
    constexpr duration kTimeout{ 3'000 };
    job_request_handler handler(
      mSite.mLoop, mSite.Node(aVm), [this] { return mSite.mLoop.Now().count(); });
    server_request request;
    request.mMethod = aMethod;
    request.mTarget = aTarget;
    request.mHost = "jobs.example";
    request.mApiKey = aKey;
    request.mTimeout = kTimeout;
    request.mBody = R"({"spec":"","steps":[{"count":4,"cpu":1000,"mem_mb":100,)"
                    R"("gpu":1,"long_running":true}]})";
    const auto status = std::make_shared<unsigned>(0);
    handler.Serve(request,
                  [status](const server_reply& aReply) { *status = aReply.mStatus; });
    mSite.mLoop.RunUntil([&] { return *status != 0; }, kTimeout);
    return *status;
  }

private:
  fake_installation& mSite;
};

size_t CountRuns(const fake_installation& aSite)
{
  return static_cast<size_t>(
    std::count_if(aSite.mTraces.begin(), aSite.mTraces.end(), [](const auto& aRun) {
      return aRun.mTask.mJob == kJob && !aRun.mEnded;
    }));
}

} // namespace

TEST_CASE("a job's owner is found by keys before names", "[owners]")
{
  struct row
  {
    std::string mWorkspace;
    std::vector<std::string> mKeys;
    workspaces mNow;
    std::string mOwner; // Empty: none.
  };
  const auto [workspace, keys, now, expected] = GENERATE(
    row{ "t", { "k" }, { { "t", { "k" } } }, "t" },
    row{ "t", { "k" }, { { "new", { "k" } } }, "new" },        // Renamed.
    row{ "t", { "k" }, { { "t", { "k2" } } }, "t" },           // New keys.
    row{ "t", { "k", "k2" }, { { "new", { "k2" } } }, "new" }, // A key left.
    row{ "t", { "k" }, { { "t", { "k9" } }, { "new", { "k" } } }, "new" }, // Reused.
    row{ "t", { "k", "k2" }, { { "a", { "k" } }, { "t", { "k2" } } }, "t" },
    row{ "t", {}, { { "t", { "k" } } }, "t" }, // Stored by an earlier version.
    row{ "t", { "k" }, { { "u", { "k3" } } }, "" },
    row{ "", { "k" }, { { "t", { "k" } } }, "t" }, // Unknown at the submission.
    row{ "", {}, { { "t", { "k" } } }, "" });
  CAPTURE(workspace, keys, expected);
  const job_owners owners(std::make_shared<const fleet_policy>(PolicyWith(2, now)));
  const auto* owner = owners.OwnerOf(JobOf(workspace, keys));
  CHECK((owner == nullptr ? "" : owner->mName) == expected);
}

TEST_CASE("callers may cancel the jobs of their workspace and of public queues",
          "[owners]")
{
  struct row
  {
    std::string mWorkspace;
    std::vector<std::string> mKeys;
    std::string mQueue; // Of the call; that of the job is "batch".
    std::string mKey;   // Of the caller; empty: none.
    bool mIsPublic;     // Whether "batch" is.
    bool mMayCancel;
  };
  // By the policy, "new" has k and k2, and "other" has k3.
  const auto [workspace, keys, queue, key, isPublic, expected] =
    GENERATE(row{ "t", { "k" }, "batch", "k", false, true },
             row{ "t", { "k" }, "batch", "k2", false, true },
             row{ "t", { "k" }, "later", "k2", false, true },
             row{ "t", { "k" }, "batch", "k3", false, false },
             row{ "t", { "k" }, "batch", "", false, false },
             row{ "other", {}, "batch", "k3", false, true },
             row{ "other", {}, "batch", "k", false, false },
             row{ "gone", {}, "batch", "k", false, false },
             // On a public queue nobody needs a key, whoever submitted the job.
             row{ "t", { "k" }, "batch", "", true, true },
             row{ "t", { "k" }, "batch", "k3", true, true },
             row{ "t", { "k" }, "later", "", true, false },
             row{ "t", { "k" }, "later", "k3", true, false },
             // Submitted without a key, or with one that wasn't known.
             row{ "", {}, "batch", "k", false, true },
             row{ "", {}, "batch", "k3", false, true },
             row{ "", {}, "later", "k3", false, false },
             row{ "", { "k" }, "batch", "k2", false, true },
             row{ "", { "k" }, "batch", "k3", false, false },
             row{ "", { "later" }, "batch", "later", false, true });
  CAPTURE(workspace, keys, queue, key, isPublic);
  auto policy =
    PolicyWith(2, { { "new", { "k", "k2" }, 0 }, { "other", { "k3" }, 0 } });
  for (auto& each : policy.mQueues) {
    each.mPublic = isPublic && each.mName == "batch";
  }
  const job_owners owners(std::make_shared<const fleet_policy>(policy));
  const job_caller caller{ queue, key.empty() ? "" : DigestOfKey(key) };
  CHECK(owners.MayCancel(JobOf(workspace, keys), caller) == expected);
}

TEST_CASE("the digests stored with a job are bounded, the caller's first", "[owners]")
{
  workspace_rule workspace{ "t", {}, 0 };
  for (char key = 'a'; key <= 'z'; ++key) {
    workspace.mKeys.insert(std::string(1, key));
  }
  const auto digests = DigestsOfKeys("m", &workspace);
  CHECK(digests.size() == 8);
  CHECK(digests.front() == DigestOfKey("m"));
  CHECK(std::count(digests.begin(), digests.end(), DigestOfKey("m")) == 1);
  CHECK(DigestsOfKeys("", nullptr).empty());
  CHECK(DigestsOfKeys("m", nullptr) == std::vector{ DigestOfKey("m") });
}

// Guards against a 410 for a job that runs on, as its workspace has got another name.
TEST_CASE("a job is cancelled by its submitter's key after the policy has changed",
          "[owners]")
{
  struct row
  {
    std::string mName;
    workspaces mNow;
    std::string mKey; // Of the cancellation.
    unsigned mStatus;
  };
  const auto& key = fake_installation::kKey;
  const auto [name, now, cancelKey, status] = GENERATE_REF(
    row{ "unchanged", { { "gyms", { key }, 8 } }, key, 200U },
    row{ "renamed", { { "halls", { key }, 8 } }, key, 200U },
    row{ "renamed with a new key", { { "halls", { key, "k2" }, 8 } }, "k2", 200U },
    row{ "its name given away",
         { { "gyms", { "k9" }, 8 }, { "halls", { key }, 8 } },
         key,
         200U },
    row{ "other keys", { { "gyms", { "k2" }, 8 } }, "k2", 200U },
    row{ "of the bearer of its former name",
         { { "gyms", { "k9" }, 8 }, { "halls", { key }, 8 } },
         "k9",
         403U },
    row{ "of another workspace",
         { { "gyms", { key }, 8 }, { "halls", { "k9" }, 8 } },
         "k9",
         403U },
    row{ "removed", { { "halls", { "k9" }, 8 } }, "k9", 403U });
  CAPTURE(name, cancelKey);
  fake_installation site(kVms, kWorkers);
  site.mBehaviourByPayload[""].mDuration = duration(600'000);
  client caller(site);
  REQUIRE(caller.Call("vm0", "POST", "/batch/" + kJob, key) == 200);
  site.mLoop.RunFor(duration(3'000));
  REQUIRE(CountRuns(site) == 4);
  site.PutPolicy(PolicyWith(2, now));
  site.mLoop.RunFor(duration(3'000));
  CHECK(caller.Call("vm1", "DELETE", "/batch/" + kJob, cancelKey) == status);
  site.mLoop.RunFor(duration(3'400)); // cancel_ms and stop_timeout_ms.
  CHECK(CountRuns(site) == (status == 200 ? 0U : 4U));
  CHECK(site.mLog.CountLines("event=cancel_refused") == (status == 403 ? 1U : 0U));
}

// Guards against a 410 for a job that runs on, as its key was not known at first.
TEST_CASE("a job submitted without a known key on a public queue can be cancelled",
          "[owners]")
{
  struct row
  {
    std::string mSubmitKey;
    bool mStaysPublic;
    std::string mCancelKey;
    unsigned mStatus;
  };
  const auto [submitKey, staysPublic, cancelKey, status] =
    GENERATE(row{ "late", true, "late", 200U },
             row{ "late", false, "late", 200U },
             row{ "", true, "late", 200U },
             row{ "", false, "late", 200U },
             row{ "", true, "", 200U },
             row{ "late", true, "", 200U },
             row{ "late", false, fake_installation::kKey, 403U });
  CAPTURE(submitKey, staysPublic, cancelKey);
  fake_installation site(kVms, kWorkers);
  site.mBehaviourByPayload[""].mDuration = duration(600'000);
  auto policy = fake_installation::MakePolicy(2);
  policy.mQueues[1].mPublic = true;
  site.PutPolicy(policy);
  site.mLoop.RunFor(duration(3'000));
  client caller(site);
  REQUIRE(caller.Call("vm0", "POST", "/batch/" + kJob, submitKey) == 200);
  site.mLoop.RunFor(duration(3'000));
  REQUIRE(CountRuns(site) == 4);
  policy.mVersion = 3;
  policy.mQueues[1].mPublic = staysPublic;
  policy.mWorkspaces.push_back({ "halls", { "late" }, 0 });
  site.PutPolicy(policy);
  site.mLoop.RunFor(duration(3'000));
  CHECK(caller.Call("vm1", "DELETE", "/batch/" + kJob, cancelKey) == status);
  site.mLoop.RunFor(duration(3'400));
  CHECK(CountRuns(site) == (status == 200 ? 0U : 4U));
}

// Guards against a 410 for a job that may run, as this version can't read its record.
TEST_CASE("a job whose record is unreadable is not reported as not found", "[owners]")
{
  fake_installation site(kVms, kWorkers);
  site.mStore.Put(store_keys::kJobs + kJob, "{");
  client caller(site);
  CHECK(caller.Call("vm0", "DELETE", "/batch/" + kJob, fake_installation::kKey) == 503);
}

TEST_CASE("the key digests of a job are stored with it", "[owners]")
{
  auto job = fake_installation::MakeJob(kJob, 2);
  job.mKeyDigests = { DigestOfKey("k"), DigestOfKey("k2") };
  const auto text = EncodeJob(job);
  const auto decoded = DecodeJob(kJob, text);
  REQUIRE(decoded);
  CHECK(*decoded == job);
  CHECK(text.find("\"k\"") == std::string::npos); // Not the keys themselves.
  // A job that an earlier version has stored has none.
  auto earlier = text;
  const auto from = earlier.find("\"keys\":[");
  REQUIRE(from != std::string::npos);
  earlier.erase(from, earlier.find("],", from) + 2 - from);
  job.mKeyDigests.clear();
  const auto decodedEarlier = DecodeJob(kJob, earlier);
  REQUIRE(decodedEarlier);
  CHECK(*decodedEarlier == job);
}
