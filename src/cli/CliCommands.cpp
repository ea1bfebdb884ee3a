#include "cli/CliCommands.h"

#include "anvildoor/Client.h"
#include "anvildoor/Settings.h"
#include "base/Hash.h"
#include "base/JsonText.h"
#include "base/Sha256.h"

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
constexpr int kMaxConsecutiveFailures = 120;
constexpr uint32_t kFirstErrorStatus = 400;
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

cli_exit ExitStatusFor(const cli_answer& aAnswer)
{
  if (aAnswer.mStatus < kFirstErrorStatus) {
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

void PrintBody(const cli_options& aOptions, const json& aBody)
{
  if (aOptions.mJson) {
    std::printf("%s\n", aBody.dump(-1, ' ', false, kReplaceInvalidUtf8).c_str());
  } else {
    PrintObject(aBody, "");
  }
}

cli_exit PrintResult(const cli_options& aOptions, const result<cli_answer>& aAnswer)
{
  if (!aAnswer) {
    PrintError(aAnswer.error());
    return aAnswer.error().mCode == error_code::kUnavailable ? cli_exit::kNotRun
                                                             : cli_exit::kUnknown;
  }
  PrintBody(aOptions, aAnswer->mBody);
  return ExitStatusFor(*aAnswer);
}

cli_exit PrintUsageError(const std::string& aMessage)
{
  std::fprintf(stderr, "anvildoor: %s; see anvildoor --help\n", aMessage.c_str());
  return cli_exit::kUsage;
}

/** Copies integer flags into JSON bodies and records the last malformed one. */
class integer_flags
{
public:
  explicit integer_flags(const cli_options& aOptions)
    : mOptions(aOptions)
  {
  }

  void PutInteger(json& aBody, const char* aFlag, const char* aField)
  {
    const auto text = mOptions.Flag(aFlag);
    if (text.empty()) {
      return;
    }
    char* end = nullptr;
    const auto value = std::strtoll(text.c_str(), &end, 10);
    if (*end != '\0') {
      mErrorText = std::string("--") + aFlag + " requires an integer";
    }
    aBody[aField] = value;
  }

  const std::string& ErrorText() const { return mErrorText; }

private:
  const cli_options& mOptions;
  std::string mErrorText;
};

void PutString(const cli_options& aOptions,
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
    const bool succeeded = answer && answer->mStatus < kFirstErrorStatus;
    const bool isPermanentError =
      answer && !succeeded && answer->mStatus < 500 && answer->mStatus != 429;
    if (isPermanentError) {
      return PrintResult(aOptions, answer);
    }
    if (!succeeded) {
      if (++failures > kMaxConsecutiveFailures) {
        return PrintResult(aOptions, answer);
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
      PrintBody(aOptions, answer->mBody);
      return state == "completed" ? cli_exit::kOk : cli_exit::kFailed;
    }
  }
}

cli_exit RunSubmitCommand(const cli_options& aOptions)
{
  // A generated key cannot have been sent before, so the call is not a repeat.
  const bool isGeneratedKey = aOptions.Flag("key").empty();
  json body{ { "workspace", aOptions.Flag("workspace") },
             { "repeat", !isGeneratedKey && aOptions.Flag("first-call").empty() },
             { "idempotent", aOptions.Flag("not-idempotent").empty() },
             { "checkpointable", !aOptions.Flag("checkpointable").empty() } };
  integer_flags integers(aOptions);
  integers.PutInteger(body, "tasks", "tasks");
  integers.PutInteger(body, "accelerators", "accelerators_per_task");
  integers.PutInteger(body, "cores", "cores_per_task");
  integers.PutInteger(body, "memory-mb", "memory_mb_per_task");
  integers.PutInteger(body, "expected-seconds", "expected_seconds");
  PutString(aOptions, body, "class", "class");
  PutString(aOptions, body, "adjacency", "adjacency");
  PutString(aOptions, body, "payload", "payload");
  if (!integers.ErrorText().empty()) {
    return PrintUsageError(integers.ErrorText());
  }
  const auto key = isGeneratedKey ? NewKey() : aOptions.Flag("key");
  const auto answer = Call(
    aOptions, "POST", "/v1/jobs", body.dump(-1, ' ', false, kReplaceInvalidUtf8), key);
  const bool accepted = answer && answer->mStatus < kFirstErrorStatus;
  if (accepted && aOptions.mWait) {
    return WaitForJob(aOptions, answer->mBody.value("id", ""));
  }
  const auto shown = PrintResult(aOptions, answer);
  if (shown == cli_exit::kUnknown) {
    std::fprintf(stderr, "retry with the same --key %s\n", key.c_str());
  }
  return shown;
}

// Requests

cli_exit RunRequestCommand(const cli_options& aOptions)
{
  const bool idempotent = aOptions.Flag("not-idempotent").empty();
  const bool isGeneratedKey = aOptions.Flag("key").empty();
  json body{ { "workspace", aOptions.Flag("workspace") },
             { "idempotent", idempotent },
             { "repeat", !isGeneratedKey && aOptions.Flag("first-call").empty() } };
  integer_flags integers(aOptions);
  integers.PutInteger(body, "deadline-ms", "deadline_ms");
  PutString(aOptions, body, "class", "class");
  PutString(aOptions, body, "payload", "payload");
  if (!integers.ErrorText().empty()) {
    return PrintUsageError(integers.ErrorText());
  }
  const auto key = isGeneratedKey ? NewKey() : aOptions.Flag("key");
  const auto shown = PrintResult(aOptions,
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
  PutString(aOptions, body, "token-sha256", "token_sha256");
  PutString(aOptions, body, "data-centre", "data_centre");
  integer_flags integers(aOptions);
  integers.PutInteger(body, "weight", "weight");
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
  PutString(aOptions, body, "workspace", "workspace");
  PutString(aOptions, body, "setting", "setting");
  PutString(aOptions, body, "reason", "reason");
  integer_flags(aOptions).PutInteger(body, "value", "value");
  return body;
}

result<json> DefaultsBody(const cli_options& aOptions)
{
  json body = json::object();
  for (size_t i = 2; i < aOptions.mPositionals.size(); ++i) {
    const auto& assignment = aOptions.mPositionals[i];
    const auto equals = assignment.find('=');
    char* end = nullptr;
    const auto value = std::strtoll(assignment.c_str() + equals + 1, &end, 10);
    if (equals == std::string::npos || *end != '\0') {
      return Fail(error_code::kInvalid, "arguments", assignment, "expected NAME=VALUE");
    }
    body[assignment.substr(0, equals)] = value;
  }
  return body;
}

cli_exit RunConfigEntryCommand(const cli_options& aOptions, const std::string& aPath)
{
  const auto verb = aOptions.Positional(1);
  const bool isDefaults = aOptions.Positional(0) == "defaults";
  const auto target =
    "/v1/config/" + aPath + (isDefaults ? "" : "/" + aOptions.Positional(2));
  if (!isDefaults && aOptions.Positional(2).empty()) {
    return PrintUsageError(aOptions.Positional(0) + " requires a name");
  }
  if (verb == "get" || verb == "delete") {
    return PrintResult(aOptions,
                       Call(aOptions, verb == "get" ? "GET" : "DELETE", target));
  }
  if (verb != "put") {
    return PrintUsageError("expected get, put or delete");
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
  return PrintResult(aOptions, answer);
}

cli_exit RunConfigCheck(const cli_options& aOptions)
{
  if (aOptions.Positional(1) != "check" || aOptions.Positional(2).empty()) {
    return PrintUsageError("expected config check FILE");
  }
  const auto settings = LoadSettings(aOptions.Positional(2));
  if (!settings) {
    PrintError(settings.error());
    return cli_exit::kUsage;
  }
  std::printf("%s: the settings are valid\n", aOptions.Positional(2).c_str());
  return cli_exit::kOk;
}

cli_exit RunJobCommand(const cli_options& aOptions)
{
  const auto id = aOptions.Positional(1);
  const auto command = aOptions.Positional(0);
  if (id.empty()) {
    return PrintUsageError(command + " requires a job ID");
  }
  if (command == "wait") {
    return WaitForJob(aOptions, id);
  }
  if (command == "explain") {
    return PrintResult(aOptions, Call(aOptions, "GET", "/v1/explain/jobs/" + id));
  }
  return PrintResult(
    aOptions, Call(aOptions, command == "cancel" ? "DELETE" : "GET", "/v1/jobs/" + id));
}

cli_exit RunHashCommand(const cli_options& aOptions)
{
  std::printf("%s\n", Sha256Hex(aOptions.Positional(1)).c_str());
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
    { "submit", RunSubmitCommand },
    { "job", RunJobCommand },
    { "wait", RunJobCommand },
    { "cancel", RunJobCommand },
    { "explain", RunJobCommand },
    { "request", RunRequestCommand },
    { "workspace",
      [](const cli_options& aOptions) {
        return RunConfigEntryCommand(aOptions, "workspaces");
      } },
    { "defaults",
      [](const cli_options& aOptions) {
        return RunConfigEntryCommand(aOptions, "defaults");
      } },
    { "exception",
      [](const cli_options& aOptions) {
        return RunConfigEntryCommand(aOptions, "exceptions");
      } },
    { "fleet",
      [](const cli_options& aOptions) {
        return PrintResult(aOptions, Call(aOptions, "GET", "/v1/fleet"));
      } },
    { "status",
      [](const cli_options& aOptions) {
        return PrintResult(aOptions, Call(aOptions, "GET", "/v1/status"));
      } },
    { "drain",
      [](const cli_options& aOptions) {
        return PrintResult(aOptions, Call(aOptions, "POST", "/v1/drain"));
      } },
    { "config", RunConfigCheck },
    { "hash", RunHashCommand },
  };
  return sCommands;
}

} // namespace

cli_exit RunCommand(const cli_options& aOptions)
{
  for (const auto& item : Commands()) {
    if (aOptions.Positional(0) == item.mName) {
      return item.mRun(aOptions);
    }
  }
  return PrintUsageError(aOptions.mPositionals.empty()
                           ? "missing command"
                           : "unknown command " + aOptions.Positional(0));
}

} // namespace anvildoor
