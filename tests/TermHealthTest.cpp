#include "scheduler/TermHealth.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace anvildoor;

namespace {

struct observation_row
{
  std::string mName;
  std::vector<term_observation> mObservations;
  impairment mExpected = impairment::kNone;
};

constexpr duration kFresh{ 100 };
constexpr duration kOld{ 6'100 };

} // namespace

TEST_CASE("a term counts as impaired after two observations that say so", "[health]")
{
  const term_observation sound{ kFresh, kFresh, { 4, 4 } };
  const term_observation noInbox{ kOld, kFresh, { 4, 4 } };
  const term_observation noList{ kFresh, kOld, { 4, 4 } };
  const term_observation noWorkers{ kFresh, kFresh, { 4, 0 } };
  const auto row = GENERATE_COPY(values<observation_row>({
    { "nothing observed", {}, impairment::kNone },
    { "sound", { sound, sound }, impairment::kNone },
    { "one observation", { sound, noInbox }, impairment::kNone },
    { "a process that stood still", { noWorkers, sound }, impairment::kNone },
    { "inbox unread", { noInbox, noInbox }, impairment::kReads },
    { "workers not listed", { noList, noList }, impairment::kReads },
    { "different reads", { noInbox, noList }, impairment::kReads },
    { "reads go before workers",
      { { kOld, kFresh, { 4, 0 } }, { kOld, kFresh, { 4, 0 } } },
      impairment::kReads },
    { "no worker reached", { noWorkers, noWorkers }, impairment::kWorkers },
    { "less than half",
      { { kFresh, kFresh, { 5, 2 } }, { kFresh, kFresh, { 5, 2 } } },
      impairment::kWorkers },
    { "half",
      { { kFresh, kFresh, { 4, 2 } }, { kFresh, kFresh, { 4, 2 } } },
      impairment::kNone },
    { "no workers at all",
      { { kFresh, kFresh, { 0, 0 } }, { kFresh, kFresh, { 0, 0 } } },
      impairment::kNone },
    { "recovered", { noList, noList, sound, sound }, impairment::kNone },
    { "one good observation", { noList, noList, sound }, impairment::kNone },
    { "impaired again", { noList, noList, sound, noList }, impairment::kNone },
  }));
  CAPTURE(row.mName);
  term_health health;
  auto judged = impairment::kNone;
  for (const auto& observation : row.mObservations) {
    judged = health.Observe(observation);
  }
  CHECK(judged == row.mExpected);
}

TEST_CASE("impaired terms are read as they were written", "[health]")
{
  const auto fence = GENERATE(uint64_t(1), uint64_t(18'446'744'073'709'551'615U));
  const auto what =
    GENERATE(impairment::kNone, impairment::kReads, impairment::kWorkers);
  const auto reach = GENERATE(worker_reach{ 0, 0 }, worker_reach{ 2'900, 17 });
  const impaired_term term{ fence, what, reach, 9 };
  CHECK(DecodeImpairedTerm(EncodeImpairedTerm(term)) == term);
}

TEST_CASE("malformed impaired terms are refused", "[health]")
{
  const auto text =
    GENERATE(as<std::string>(),
             "",
             "7",
             "{}",
             R"({"fence":7,"impairment":"reads","listed":4,"lease":9})",
             R"({"fence":7,"impairment":"reads","listed":4,"reached":4})",
             R"({"fence":-7,"impairment":"reads","listed":4,"reached":4,"lease":9})",
             R"({"fence":7,"impairment":"sleep","listed":4,"reached":4,"lease":9})",
             R"({"fence":7,"impairment":1,"listed":4,"reached":4,"lease":9})",
             R"({"fence":"7","impairment":"reads","listed":4,"reached":4,"lease":9})",
             R"([7,"reads",4,4])");
  CAPTURE(text);
  CHECK(!DecodeImpairedTerm(text));
}

TEST_CASE("a reach is clearly better only by a quarter of the workers", "[health]")
{
  struct row
  {
    worker_reach mOwn;
    worker_reach mOther;
    bool mIsBetter = false;
  };
  const auto each = GENERATE(values<row>({
    { { 12, 12 }, { 100, 0 }, true },
    { { 12, 6 }, { 100, 0 }, true },
    { { 12, 5 }, { 100, 0 }, false },
    { { 12, 8 }, { 90, 30 }, true },
    { { 12, 7 }, { 90, 30 }, true },
    { { 12, 8 }, { 100, 45 }, false },
    { { 12, 9 }, { 100, 45 }, true },
    { { 0, 0 }, { 100, 0 }, false },
    { { 12, 12 }, { 0, 0 }, true },
  }));
  CAPTURE(each.mOwn.mReached, each.mOther.mReached);
  CHECK(each.mOwn.IsClearlyBetterThan(each.mOther) == each.mIsBetter);
}
