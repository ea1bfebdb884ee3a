#include "cli/CliCommands.h"

#include "anvildoor/Client.h"
#include "anvildoor/Settings.h"
#include "base/Hash.h"
#include "base/JsonText.h"

#include <chrono>
#include <cstdio>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace anvildoor {

namespace {

using nlohmann::json;

constexpr duration kCallTimeout{ 65'000 };
constexpr duration kRetryPause{ 500 };
constexpr int kMaxWaitFailures = 120;
constexpr uint32_t kFirstError = 400;
constexpr uint32_t kStatusConflict = 409;

/** A decoded HTTP response of the service. */
struct cli_answer
{
  uint32_t mStatus = 0;
  json mBody;
};

void PrintError(const error& aError)
{
  std::fprintf(stderr, "anvildoor: %s\n", Describe(aError).c_str());
}

std::string NewKey()
{
  std::random_device device;
  return HexDigest(std::to_string(device()) + std::to_string(device()) +
                   std::to_string(device()));
}

result<cli_answer> Call(const cli_options& aOptions,
                        const std::string& aMethod,
                        const std::string& aTarget,
                        const std::string& aBody = "",
                        const std::string& aKey = "")
{
  const auto service = client::Make(aOptions.mServers, aOptions.mToken);
  if (!service) {
    return tl::unexpected<error>(service.error());
  }
  const auto reply = service->Call(
    { aMethod, aTarget, aBody, aKey, aOptions.Flag("if-match") }, kCallTimeout);
  if (!reply) {
    return tl::unexpected<error>(reply.error());
  }
  return cli_answer{ reply->mStatus, json::parse(reply->mBody, nullptr, false) };
}

cli_exit ExitOf(const cli_answer& aAnswer)
{
  if (aAnswer.mStatus < kFirstError) {
    return cli_exit::kOk;
  }
  const auto outcome =
    aAnswer.mBody.is_object() ? aAnswer.mBody.value("outcome", "") : std::string();
  if (outcome == "unknown") {
    return cli_exit::kUnknown;
  }
  return outcome == "not_run" ? cli_exit::kNotRun : cli_exit::kFailed;
}

void PrintObject(const json& aObject, const std::string& aIndent)
{
  for (const auto& item : aObject.items()) {
    const auto& value = item.value();
    if (value.is_structured() && !value.empty()) {
      std::printf("%s%s:\n", aIndent.c_str(), item.key().c_str());
      PrintObject(value, aIndent + "  ");
    } else {
      const auto text = value.is_string()
                          ? value.get<std::string>()
                          : value.dump(-1, ' ', false, kReplaceInvalidUtf8);
      std::printf("%s%s: %s\n", aIndent.c_str(), item.key().c_str(), text.c_str());
    }
  }
}

void Print(const cli_options& aOptions, const json& aBody)
{
  if (aOptions.mJson) {
    std::printf("%s\n", aBody.dump(-1, ' ', false, kReplaceInvalidUtf8).c_str());
  } else {
    PrintObject(aBody, "");
  }
}

cli_exit Show(const cli_options& aOptions, const result<cli_answer>& aAnswer)
{
  if (!aAnswer) {
    PrintError(aAnswer.error());
    return aAnswer.error().mCode == error_code::kUnavailable ? cli_exit::kNotRun
                                                             : cli_exit::kUnknown;
  }
  Print(aOptions, aAnswer->mBody);
  return ExitOf(*aAnswer);
}

cli_exit Usage(const std::string& aMessage)
{
  std::fprintf(stderr, "anvildoor: %s; see anvildoor --help\n", aMessage.c_str());
  return cli_exit::kUsage;
}

/** Copies integer flags into JSON bodies and records the last malformed one. */
class number_flags
{
public:
  explicit number_flags(const cli_options& aOptions)
    : mOptions(aOptions)
  {
  }

  void Put(json& aBody, const char* aFlag, const char* aField)
  {
    const auto text = mOptions.Flag(aFlag);
    if (text.empty()) {
      return;
    }
    char* end = nullptr;
    const auto value = std::strtoll(text.c_str(), &end, 10);
    if (*end != '\0') {
      mWrong = std::string("--") + aFlag + " requires an integer";
    }
    aBody[aField] = value;
  }

  const std::string& Wrong() const { return mWrong; }

private:
  const cli_options& mOptions;
  std::string mWrong;
};

void PutText(const cli_options& aOptions,
             json& aBody,
             const char* aFlag,
             const char* aField)
{
  const auto text = aOptions.Flag(aFlag);
  if (!text.empty()) {
    aBody[aField] = text;
  }
}

// Jobs

cli_exit WaitForJob(const cli_options& aOptions, const std::string& aId)
{
  std::string shown;
  int failures = 0;
  for (;;) {
    const auto answer = Call(aOptions, "GET", "/v1/jobs/" + aId + "?wait_ms=2000");
    const bool reached = answer && answer->mStatus < kFirstError;
    const bool settled =
      answer && !reached && answer->mStatus < 500 && answer->mStatus != 429;
    if (settled) {
      return Show(aOptions, answer);
    }
    if (!reached) {
      if (++failures > kMaxWaitFailures) {
        return Show(aOptions, answer);
      }
      std::this_thread::sleep_for(kRetryPause);
      continue;
    }
    failures = 0;
    const auto state = answer->mBody.value("state", "");
    if (state != shown && !aOptions.mJson) {
      std::fprintf(stderr, "%s: %s\n", aId.c_str(), state.c_str());
      shown = state;
    }
    if (state == "completed" || state == "failed" || state == "cancelled") {
      Print(aOptions, answer->mBody);
      return state == "completed" ? cli_exit::kOk : cli_exit::kFailed;
    }
  }
}

cli_exit Submit(const cli_options& aOptions)
{
  // A generated key cannot have been sent before, so the call is not a repeat.
  const bool ownKey = aOptions.Flag("key").empty();
  json body{ { "workspace", aOptions.Flag("workspace") },
             { "repeat", !ownKey && aOptions.Flag("first-call").empty() },
             { "idempotent", aOptions.Flag("not-idempotent").empty() },
             { "checkpointable", !aOptions.Flag("checkpointable").empty() } };
  number_flags numbers(aOptions);
  numbers.Put(body, "tasks", "tasks");
  numbers.Put(body, "accelerators", "accelerators_per_task");
  numbers.Put(body, "cores", "cores_per_task");
  numbers.Put(body, "memory-mb", "memory_mb_per_task");
  numbers.Put(body, "expected-seconds", "expected_seconds");
  PutText(aOptions, body, "class", "class");
  PutText(aOptions, body, "adjacency", "adjacency");
  PutText(aOptions, body, "payload", "payload");
  if (!numbers.Wrong().empty()) {
    return Usage(numbers.Wrong());
  }
  const auto key = ownKey ? NewKey() : aOptions.Flag("key");
  const auto answer = Call(
    aOptions, "POST", "/v1/jobs", body.dump(-1, ' ', false, kReplaceInvalidUtf8), key);
  const bool accepted = answer && answer->mStatus < kFirstError;
  if (accepted && aOptions.mWait) {
    return WaitForJob(aOptions, answer->mBody.value("id", ""));
  }
  const auto shown = Show(aOptions, answer);
  if (shown == cli_exit::kUnknown) {
    std::fprintf(stderr, "retry with the same --key %s\n", key.c_str());
  }
  return shown;
}

// Requests

cli_exit Request(const cli_options& aOptions)
{
  const bool idempotent = aOptions.Flag("not-idempotent").empty();
  const bool ownKey = aOptions.Flag("key").empty();
  json body{ { "workspace", aOptions.Flag("workspace") },
             { "idempotent", idempotent },
             { "repeat", !ownKey && aOptions.Flag("first-call").empty() } };
  number_flags numbers(aOptions);
  numbers.Put(body, "deadline-ms", "deadline_ms");
  PutText(aOptions, body, "class", "class");
  PutText(aOptions, body, "payload", "payload");
  if (!numbers.Wrong().empty()) {
    return Usage(numbers.Wrong());
  }
  const auto key = ownKey ? NewKey() : aOptions.Flag("key");
  const auto shown = Show(aOptions,
                          Call(aOptions,
                               "POST",
                               "/v1/requests",
                               body.dump(-1, ' ', false, kReplaceInvalidUtf8),
                               key));
  if (shown == cli_exit::kUnknown && !idempotent) {
    std::fprintf(stderr, "retry with the same --key %s\n", key.c_str());
  }
  return shown;
}

// Configuration

bool ParseGuarantee(const std::string& aText, json& aGuarantee)
{
  int64_t count = 0;
  int64_t tasks = 0;
  int64_t accelerators = 0;
  char kind[8] = {};
  const int read =
    std::sscanf(aText.c_str(), "%ld:%ld:%ld:%7s", &count, &tasks, &accelerators, kind);
  aGuarantee = { { "count", count },
                 { "tasks", tasks },
                 { "accelerators_per_task", accelerators },
                 { "cores_per_task", 1 },
                 { "adjacency", kind } };
  return read == 4;
}

result<json> WorkspaceBody(const cli_options& aOptions)
{
  json body = json::object();
  PutText(aOptions, body, "token-sha256", "token_sha256");
  PutText(aOptions, body, "data-centre", "data_centre");
  number_flags numbers(aOptions);
  numbers.Put(body, "weight", "weight");
  body["guarantees"] = json::array();
  for (const auto& text : aOptions.mGuarantees) {
    json item;
    if (!ParseGuarantee(text, item)) {
      return Fail(error_code::kInvalid,
                  "arguments",
                  "--guarantee",
                  "expected COUNT:TASKS:ACCELERATORS:rack|any");
    }
    body["guarantees"].push_back(item);
  }
  return body;
}

json ExceptionBody(const cli_options& aOptions)
{
  json body = json::object();
  PutText(aOptions, body, "workspace", "workspace");
  PutText(aOptions, body, "setting", "setting");
  PutText(aOptions, body, "reason", "reason");
  number_flags(aOptions).Put(body, "value", "value");
  return body;
}

result<json> DefaultsBody(const cli_options& aOptions)
{
  json body = json::object();
  for (size_t i = 2; i < aOptions.mWords.size(); ++i) {
    const auto& word = aOptions.mWords[i];
    const auto equals = word.find('=');
    char* end = nullptr;
    const auto value = std::strtoll(word.c_str() + equals + 1, &end, 10);
    if (equals == std::string::npos || *end != '\0') {
      return Fail(error_code::kInvalid, "arguments", word, "expected NAME=VALUE");
    }
    body[word.substr(0, equals)] = value;
  }
  return body;
}

cli_exit ConfigEntry(const cli_options& aOptions, const std::string& aPath)
{
  const auto verb = aOptions.Word(1);
  const bool isDefaults = aOptions.Word(0) == "defaults";
  const auto target =
    "/v1/config/" + aPath + (isDefaults ? "" : "/" + aOptions.Word(2));
  if (!isDefaults && aOptions.Word(2).empty()) {
    return Usage(aOptions.Word(0) + " requires a name");
  }
  if (verb == "get" || verb == "delete") {
    return Show(aOptions, Call(aOptions, verb == "get" ? "GET" : "DELETE", target));
  }
  if (verb != "put") {
    return Usage("expected get, put or delete");
  }
  result<json> body = json::object();
  if (isDefaults) {
    body = DefaultsBody(aOptions);
  } else if (aPath == "workspaces") {
    body = WorkspaceBody(aOptions);
  } else {
    body = ExceptionBody(aOptions);
  }
  if (!body) {
    PrintError(body.error());
    return cli_exit::kUsage;
  }
  const auto answer = Call(aOptions, "PUT", target, body->dump());
  if (answer && answer->mStatus == kStatusConflict) {
    std::fprintf(stderr,
                 "anvildoor: the entry was changed concurrently; read it and retry\n");
  }
  return Show(aOptions, answer);
}

cli_exit CheckSettings(const cli_options& aOptions)
{
  if (aOptions.Word(1) != "check" || aOptions.Word(2).empty()) {
    return Usage("expected config check FILE");
  }
  const auto settings = LoadSettings(aOptions.Word(2));
  if (!settings) {
    PrintError(settings.error());
    return cli_exit::kUsage;
  }
  std::printf("%s: the settings are valid\n", aOptions.Word(2).c_str());
  return cli_exit::kOk;
}

cli_exit OneJob(const cli_options& aOptions)
{
  const auto id = aOptions.Word(1);
  const auto command = aOptions.Word(0);
  if (id.empty()) {
    return Usage(command + " requires a job ID");
  }
  if (command == "wait") {
    return WaitForJob(aOptions, id);
  }
  if (command == "explain") {
    return Show(aOptions, Call(aOptions, "GET", "/v1/explain/jobs/" + id));
  }
  return Show(aOptions,
              Call(aOptions, command == "cancel" ? "DELETE" : "GET", "/v1/jobs/" + id));
}

cli_exit Hash(const cli_options& aOptions)
{
  std::printf("%s\n", Sha256Hex(aOptions.Word(1)).c_str());
  return cli_exit::kOk;
}

struct command
{
  const char* mName;
  std::function<cli_exit(const cli_options&)> mRun;
};

const std::vector<command>& Commands()
{
  static const std::vector<command> sCommands{
    { "submit", Submit },
    { "job", OneJob },
    { "wait", OneJob },
    { "cancel", OneJob },
    { "explain", OneJob },
    { "request", Request },
    { "workspace",
      [](const cli_options& aOptions) { return ConfigEntry(aOptions, "workspaces"); } },
    { "defaults",
      [](const cli_options& aOptions) { return ConfigEntry(aOptions, "defaults"); } },
    { "exception",
      [](const cli_options& aOptions) { return ConfigEntry(aOptions, "exceptions"); } },
    { "fleet",
      [](const cli_options& aOptions) {
        return Show(aOptions, Call(aOptions, "GET", "/v1/fleet"));
      } },
    { "status",
      [](const cli_options& aOptions) {
        return Show(aOptions, Call(aOptions, "GET", "/v1/status"));
      } },
    { "drain",
      [](const cli_options& aOptions) {
        return Show(aOptions, Call(aOptions, "POST", "/v1/drain"));
      } },
    { "config", CheckSettings },
    { "hash", Hash },
  };
  return sCommands;
}

} // namespace

cli_exit RunCommand(const cli_options& aOptions)
{
  for (const auto& item : Commands()) {
    if (aOptions.Word(0) == item.mName) {
      return item.mRun(aOptions);
    }
  }
  return Usage(aOptions.mWords.empty() ? "missing command"
                                       : "unknown command " + aOptions.Word(0));
}

} // namespace anvildoor
