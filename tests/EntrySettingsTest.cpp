#include "entry/EntrySettings.h"

#include <catch2/catch.hpp>

using namespace anvildoor;

namespace {

const std::string kValidSettings =
  "[vm]\nname = e1\ndata_centre = z\ncores = 0.25\n"
  "[listen]\njobs = 10.1.0.19:8521\nreadiness = 10.1.0.19:8523\n"
  "peers = 10.1.0.19:7000\nmetrics =\n"
  "[store]\naddress = 10.2.0.1:8524\n"
  "[bounds]\nlease_max_ms = 6000\nstop_grace_s = 6.5\nreclaim_ms = 2700.0\n";

std::string WithReplaced(const std::string& aOld, const std::string& aNew)
{
  auto text = kValidSettings;
  text.replace(text.find(aOld), aOld.size(), aNew);
  return text;
}

} // namespace

TEST_CASE("entry settings are parsed", "[settings]")
{
  const auto settings =
    ParseEntrySettings("f.ini", kValidSettings + "[new]\nkey = 1\n");
  REQUIRE(settings);
  CHECK(settings->mVm == "e1");
  CHECK(settings->mListenMetrics.empty());
  CHECK(settings->mLeaseMax == duration(6'000));
  CHECK(settings->mStopGrace == duration(6'500));
  CHECK(settings->mReclaimBound == duration(2'700));
  CHECK(settings->mCores == 0.25);
}

TEST_CASE("the error names the invalid entry setting", "[settings]")
{
  struct row
  {
    std::string mText;
    std::string mExpectedLabel;
  };
  const auto [text, expectedLabel] =
    GENERATE(row{ "", "[vm] name" },
             row{ WithReplaced("name = e1\n", ""), "[vm] name" },
             row{ WithReplaced("name = e1", "name ="), "[vm] name" },
             row{ WithReplaced("10.1.0.19:8521", "somewhere:8521"), "[listen] jobs" },
             row{ WithReplaced("10.1.0.19:8521", "10.1.0.19:99999"), "[listen] jobs" },
             row{ WithReplaced("10.1.0.19:7000", "10.1.0.19"), "[listen] peers" },
             row{ WithReplaced("lease_max_ms = 6000", "lease_max_ms = soon"),
                  "[bounds] lease_max_ms" },
             row{ WithReplaced("lease_max_ms = 6000", "lease_max_ms = -1"),
                  "[bounds] lease_max_ms" },
             row{ WithReplaced("reclaim_ms = 2700.0", "reclaim_ms = none"),
                  "[bounds] reclaim_ms" },
             row{ WithReplaced("cores = 0.25", "cores = 0"), "[vm] cores" },
             row{ WithReplaced("[store]", "[store"), "line" });
  CAPTURE(expectedLabel);
  const auto settings = ParseEntrySettings("f.ini", text);
  REQUIRE_FALSE(settings);
  CHECK(settings.error().mMessage.find(expectedLabel) != std::string::npos);
  CHECK(settings.error().mPeer == "f.ini");
}
