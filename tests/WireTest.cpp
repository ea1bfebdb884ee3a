#include "platform/Wire.h"
#include "platform/Base64.h"

#include <catch2/catch.hpp>
#include <random>

using namespace anvildoor;

TEST_CASE("a submitted job is decoded", "[wire]")
{
  const auto job = wire::DecodeJobBody(
    R"({"spec":"text","repeats":3,"start_at_ms":1000,"interval_ms":50,"steps":[
      {"count":4,"cpu":500,"mem_mb":256,"gpu":2,"estimate_ms":900,"data_rack":"r1"},
      {"count":20,"cpu":2000,"after":[0],"checkpointing":true,"gang":true,
       "same_rack":true,"required_label":"a","max_per_server":2,"may_miss":1,
       "unknown":{"x":1}}]})");
  REQUIRE(job);
  CHECK(job->mPayload == "text");
  CHECK(job->mRepeats == 3);
  CHECK(job->mFirstDueMs == 1'000);
  CHECK(job->mIntervalMs == 50);
  REQUIRE(job->mSteps.size() == 2);
  CHECK(job->mSteps[0].mPerTask == task_resources{ 500, 256, 2 });
  CHECK(job->mSteps[0].mDataRack == "r1");
  CHECK_FALSE(job->mSteps[0].mGang);
  CHECK(job->mSteps[1].mDependsOn == std::vector<uint32_t>{ 0 });
  CHECK(job->mSteps[1].mCheckpointing);
  CHECK(job->mSteps[1].mGang);
  CHECK(job->mSteps[1].mSameRack);
  CHECK(job->mSteps[1].mRequiredLabel == "a");
  CHECK(job->mSteps[1].mMaxPerWorker == 2);
}

TEST_CASE("an invalid job body is rejected, and the error names the field", "[wire]")
{
  struct row
  {
    std::string mBody;
    std::string mExpectedField;
  };
  const auto [body, expectedField] =
    GENERATE(row{ "", "body" },
             row{ "no json", "body" },
             row{ "[]", "body" },
             row{ "{}", "steps" },
             row{ R"({"steps":7})", "steps" },
             row{ R"({"steps":[]})", "steps" },
             row{ R"({"steps":[7]})", "steps[0]" },
             row{ R"({"steps":[{}]})", "steps[0]" },
             row{ R"({"steps":[{"count":-1}]})", "steps[0].count" },
             row{ R"({"steps":[{"count":1e300}]})", "steps[0].count" },
             row{ R"({"steps":[{"count":"4"}]})", "steps[0].count" },
             row{ R"({"steps":[{"count":1,"cpu":-5}]})", "steps[0].cpu" },
             row{ R"({"steps":[{"count":1,"gang":1}]})", "steps[0].gang" },
             row{ R"({"steps":[{"count":1,"after":[0]}]})", "steps[0]" },
             row{ R"({"steps":[{"count":1,"after":[1]},{"count":1}]})", "steps[0]" },
             row{ R"({"steps":[{"count":1,"after":7}]})", "steps[0].after" },
             row{ R"({"steps":[{"count":1,"after":["a"]}]})", "steps[0].after" },
             row{ R"({"spec":7,"steps":[{"count":1}]})", "spec" },
             row{ R"({"repeats":-1,"steps":[{"count":1}]})", "repeats" });
  CAPTURE(body);
  const auto job = wire::DecodeJobBody(body);
  REQUIRE_FALSE(job);
  CHECK(job.error().mMessage.find(expectedField) != std::string::npos);
}

TEST_CASE("a job id has 16 hexadecimal digits", "[wire]")
{
  struct row
  {
    std::string mText;
    bool mIsJobId;
  };
  const auto [text, valid] = GENERATE(row{ "5c0e7a21d94b36f8", true },
                                      row{ "5C0E7A21D94B36F8", true },
                                      row{ "5c0e7a21d94b36f", false },
                                      row{ "5c0e7a21d94b36f8a", false },
                                      row{ "5c0e7a21d94b36fg", false },
                                      row{ "", false },
                                      row{ "../../../../../..", false });
  CHECK(wire::IsJobId(text) == valid);
}

TEST_CASE("task names round-trip, and malformed ones are rejected", "[wire]")
{
  const task_ref task{ "5c0e7a21d94b36f8", 2, 1, 17 };
  CHECK(wire::FormatTaskName(task) == "5c0e7a21d94b36f8.2.1.17");
  CHECK(wire::ParseTaskName(wire::FormatTaskName(task)) == task);
  const auto* invalid = GENERATE("",
                                 "a",
                                 "a.1",
                                 "a.1.2",
                                 "a.1.2.",
                                 "a.1.2.x",
                                 "a.1.2.3.4",
                                 "a.1.2.-3",
                                 "a.1.2.99999999999");
  CHECK_FALSE(wire::ParseTaskName(invalid));
}

TEST_CASE("a worker's entry is decoded, and an unusable one is rejected", "[wire]")
{
  const std::string valid =
    R"({"service":"pool","address":"10.0.0.9:80","zone":"z","state":"ready",
        "capacity":{"cpu":32000,"mem_mb":65536,"gpu":8},"labels":["a","r1-3"],"born":12})";
  const auto worker = wire::DecodeWorker("i-1", valid);
  REQUIRE(worker);
  CHECK(worker->mRack == "r1-3");
  CHECK(worker->mCapacity == task_resources{ 32'000, 65'536, 8 });
  CHECK(worker->mStartedAtMs == 12);
  CHECK_FALSE(worker->mDraining);
  const auto* invalid =
    GENERATE("",
             "\xff\xfe",
             "[]",
             "{}",
             R"({"service":"p","address":"a:1","state":"odd","capacity":{}})",
             R"({"service":7,"address":"a:1","state":"ready","capacity":{}})",
             R"({"service":"p","state":"ready","capacity":{}})",
             R"({"service":"p","address":"a:1","state":"ready","capacity":7})");
  CHECK_FALSE(wire::DecodeWorker("i-1", invalid));
}

TEST_CASE("the desired state is decoded, and unknown fields are ignored", "[wire]")
{
  const auto policy = wire::DecodePolicy(
    R"({"version":7,"new":[1],"routes":[
      {"name":"q","host":"h.example","prefix":"/a/","service":"p","priority":2,
       "max_attempts":3,"stretch":1.5,"slo_ms":250,"public":false,"new":1},7],
      "services":[{"name":"p","admission_check":true}],
      "limits":{"max_body_bytes":1000,"idle_timeout_ms":15000},
      "tenants":[{"name":"t","api_keys":["k1","k2",7],"guaranteed":{"gpu":72}}]})");
  REQUIRE(policy);
  CHECK(policy->mVersion == 7);
  REQUIRE(policy->QueueNamed("q") != nullptr);
  CHECK(policy->QueueFor("h.example", "/a/5c0e") == policy->QueueNamed("q"));
  CHECK(policy->QueueFor("other", "/a/5c0e") == nullptr);
  CHECK(policy->QueueFor("h.example", "/b/") == nullptr);
  CHECK(policy->WorkspaceWithKey("k2")->mGuaranteedAccelerators == 72);
  CHECK(policy->WorkspaceWithKey("k3") == nullptr);
  CHECK(policy->mPools.at("p").mEnforcesCapacity);
  CHECK(policy->mMaxBodyBytes == 1'000);
  const auto* invalid = GENERATE("", "7", "{}", R"({"routes":{}})");
  CHECK_FALSE(wire::DecodePolicy(invalid));
}

TEST_CASE("a worker's response is decoded by status and reason", "[wire]")
{
  struct row
  {
    unsigned mStatus;
    std::string mBody;
    run_request_status mAnswer;
  };
  const auto [status, body, answer] =
    GENERATE(row{ 200, "{}", run_request_status::kAccepted },
             row{ 409, R"({"reason":"fence"})", run_request_status::kFenced },
             row{ 409, R"({"reason":"old"})", run_request_status::kOutdatedRun },
             row{ 409, R"({"reason":"late"})", run_request_status::kLate },
             row{ 409, R"({"reason":"room"})", run_request_status::kNoCapacity },
             row{ 409, R"({"reason":"ticket"})", run_request_status::kNoTicket },
             row{ 409, R"({"reason":"new"})", run_request_status::kNoAnswer },
             row{ 409, "", run_request_status::kNoAnswer },
             row{ 400, "", run_request_status::kInvalid },
             row{ 421, "", run_request_status::kWrongInstance },
             row{ 429, "", run_request_status::kUnhealthy },
             row{ 503, "", run_request_status::kUnhealthy },
             row{ 500, "", run_request_status::kNoAnswer },
             row{ 0, "", run_request_status::kNoAnswer });
  CHECK(wire::DecodeRunRequestStatus(status, body) == answer);
}

TEST_CASE("a hold response with a row of the wrong types is incomplete", "[wire]")
{
  const auto reply = wire::DecodeHoldReply(
    200,
    R"({"clock_ms":482113,"born":5,"running":[["a.0.1.17",2,"0b",41],["bad",1,"",0]],
        "finished":[[58,"a.0.1.9",1,"done",""],[59,"a.0.1.8",1,"odd",""]]})");
  CHECK(reply.mAnswer == run_request_status::kAccepted);
  CHECK(reply.mClockMs == 482'113);
  REQUIRE(reply.mRunning.size() == 1);
  CHECK(reply.mRunning[0].mTask == task_ref{ "a", 0, 1, 17 });
  REQUIRE(reply.mEnded.size() == 2);
  CHECK(reply.mEnded[0].mEnd == run_end::kDone);
  CHECK(reply.mComplete);
  const auto partial = wire::DecodeHoldReply(
    200, R"({"clock_ms":1,"running":[["a.0.1.17","2","",1]],"finished":[]})");
  CHECK_FALSE(partial.mComplete);
  const auto* invalid =
    GENERATE("", "[]", R"({"clock_ms":1})", R"({"running":[],"finished":7})");
  CHECK(wire::DecodeHoldReply(200, invalid).mAnswer == run_request_status::kNoAnswer);
}

TEST_CASE("base64 round-trips, and malformed text is rejected", "[wire]")
{
  std::mt19937 random(20261204);
  for (size_t size = 0; size < 200; ++size) {
    std::string bytes;
    for (size_t at = 0; at < size; ++at) {
      bytes += static_cast<char>(random() & 255U);
    }
    CHECK(DecodeBase64(EncodeBase64(bytes)) == bytes);
  }
  CHECK_FALSE(DecodeBase64("abc"));
  CHECK_FALSE(DecodeBase64("ab!="));
}

TEST_CASE("no malformed input crashes a decoder", "[wire]")
{
  const std::vector<std::string> seeds{
    R"({"spec":"t","steps":[{"count":4,"cpu":500,"after":[0],"gang":true}]})",
    R"({"clock_ms":1,"born":5,"running":[["a.0.1.17",2,"0b",41]],"finished":[[58,"a.0.1.9",1,"done",""]]})",
    R"({"version":7,"routes":[{"name":"q","host":"h","prefix":"/a/"}],"tenants":[{"api_keys":["k"]}]})",
    R"({"service":"p","address":"a:1","state":"ready","capacity":{"cpu":1},"labels":["a"]})"
  };
  std::mt19937 random(7);
  size_t decodedCount = 0;
  constexpr int kInputs = 20'000;
  for (int input = 0; input < kInputs; ++input) {
    auto text = seeds[random() % seeds.size()];
    for (unsigned change = random() % 4; change-- > 0;) {
      const auto at = random() % text.size();
      switch (random() % 3) {
        case 0:
          text[at] = static_cast<char>(random() & 255U);
          break;
        case 1:
          text.erase(at, 1 + random() % 5);
          break;
        default:
          text.insert(at, text.substr(random() % text.size(), random() % 9));
          break;
      }
      if (text.empty()) {
        text = "{";
      }
    }
    decodedCount += wire::DecodeJobBody(text) ? 1 : 0;
    decodedCount += wire::DecodePolicy(text) ? 1 : 0;
    decodedCount += wire::DecodeWorker("i", text) ? 1 : 0;
    decodedCount +=
      wire::DecodeHoldReply(200, text).mAnswer == run_request_status::kAccepted ? 1 : 0;
  }
  CHECK(decodedCount > 0);
}
