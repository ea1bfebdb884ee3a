#include "anvildoor/Settings.h"

#include <catch2/catch.hpp>
#include <string>

using namespace anvildoor;

namespace {

const std::string kValidSettings =
  "[node]\nvm = e1\ndata_centre = alpha\n"
  "listen_http = 127.0.0.1:7301\nlisten_peer = 127.0.0.1:7302\n"
  "[platform]\nstore = 127.0.0.1:7100\nvm_list = 127.0.0.1:7100\n"
  "[security]\npeer_secret = 0123456789abcdef\n"
  "operator_tokens = " +
  std::string(64, 'a') + "\n";

std::string WithLines(const std::string& aLines)
{
  return kValidSettings + aLines + "\n";
}

std::string WithoutKey(const std::string& aKey)
{
  const auto at = kValidSettings.find(aKey + " =");
  const auto end = kValidSettings.find('\n', at);
  return kValidSettings.substr(0, at) + kValidSettings.substr(end + 1);
}

} // namespace

TEST_CASE("valid settings are parsed with their units")
{
  const auto settings = ParseSettings(
    "e1.ini", WithLines("[http]\nbody_limit = 2MB\n[drain]\ngrace = 2min"));
  REQUIRE_FALSE(settings); // 2 MB exceeds the maximum of 1 MB.
  const auto inRange = ParseSettings(
    "e1.ini",
    WithLines(
      "[http]\nbody_limit = 128KB\nread_timeout = 1500ms\n[drain]\ngrace = 2min"));
  REQUIRE(inRange);
  CHECK(inRange->mBodyLimitBytes == 131'072);
  CHECK(inRange->mReadTimeout == duration(1'500));
  CHECK(inRange->mDrainGrace == duration(120'000));
  CHECK(inRange->mThreads == 2);
}

TEST_CASE("invalid settings are rejected with file, section, key and expected value")
{
  struct row
  {
    std::string mText;
    const char* mWhere;
    const char* mExpected;
  };
  const auto item = GENERATE(
    row{ WithoutKey("vm"), "[node] vm", "missing" },
    row{ WithoutKey("store"), "[platform] store", "missing" },
    row{ WithLines("[node]\nspeed = 3"), "[node] speed", "unknown key" },
    row{ WithLines("[engine]\nthreads = 3"), "[engine] threads", "unknown key" },
    row{ WithLines("[node]\nthreads = 3\nthreads = 4"), "[node] threads", "twice" },
    row{ WithLines("[node]\nthreads = many"), "[node] threads", "whole number" },
    row{ WithLines("[node]\nthreads = 0"), "[node] threads", "from 1 to 64" },
    row{ WithLines("[node]\nthreads = -2"), "[node] threads", "from 1 to 64" },
    row{ WithLines("[http]\nread_timeout = 5"),
         "[http] read_timeout",
         "unit ms, s or min" },
    row{ WithLines("[http]\nread_timeout = 5h"),
         "[http] read_timeout",
         "unit ms, s or min" },
    row{ WithLines("[http]\nread_timeout = 5000s"), "[http] read_timeout", "60000ms" },
    row{
      WithLines("[http]\nbody_limit = 64kb"), "[http] body_limit", "unit B, KB or MB" },
    row{ WithLines("[http]\nbody_limit = 99999999999999999999KB"),
         "[http] body_limit",
         "unit B, KB or MB" },
    row{ WithLines("[security]\ntls_key = nowhere.pem"),
         "[security] tls_key",
         "readable" },
    row{ WithLines("not a setting"), "line", "not a [section] or key = value" });
  INFO(item.mText);
  const auto settings = ParseSettings("e1.ini", item.mText);
  REQUIRE_FALSE(settings);
  CHECK(settings.error().mPeer == "e1.ini");
  CHECK(settings.error().mMessage.find(item.mWhere) != std::string::npos);
  CHECK(settings.error().mMessage.find(item.mExpected) != std::string::npos);
}

TEST_CASE("invalid addresses, digests, secrets and names are rejected")
{
  const auto item = GENERATE(std::pair("listen_http", "localhost:7301"),
                             std::pair("listen_peer", "127.0.0.1"),
                             std::pair("store", "127.0.0.1:99999"),
                             std::pair("vm_list", "127.0.0.1:7x"),
                             std::pair("operator_tokens", "abc"),
                             std::pair("peer_secret", "short"),
                             std::pair("data_centre", "a b"));
  auto text = kValidSettings;
  const auto at = text.find(std::string(item.first) + " =");
  text.replace(
    at, text.find('\n', at) - at, std::string(item.first) + " = " + item.second);
  const auto settings = ParseSettings("e1.ini", text);
  REQUIRE_FALSE(settings);
  CHECK(settings.error().mMessage.find(item.first) != std::string::npos);
}
