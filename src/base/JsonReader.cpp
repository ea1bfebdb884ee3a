#include "base/JsonReader.h"

#include "base/JsonText.h"

#include <algorithm>

namespace anvildoor {

json_reader::json_reader(nlohmann::json aObject, std::string aStep)
  : mObject(std::move(aObject))
  , mStep(std::move(aStep))
{
  if (!mObject.is_object()) {
    Reject("", "expected a JSON object");
  }
}

json_reader json_reader::Parse(const std::string& aText, std::string aStep)
{
  auto parsed = ParseJson(aText);
  if (parsed.is_discarded()) {
    json_reader reader(nlohmann::json::object(), std::move(aStep));
    reader.Reject("", "malformed JSON");
    return reader;
  }
  return { std::move(parsed), std::move(aStep) };
}

void json_reader::Reject(const std::string& aField, const std::string& aMessage)
{
  if (!mError) {
    mError = error{ error_code::kInvalid, mStep, aField, aMessage };
  }
}

const nlohmann::json* json_reader::FindField(const char* aField, bool aRequired)
{
  mReadFields.emplace_back(aField);
  if (!mObject.is_object()) {
    return nullptr;
  }
  const auto found = mObject.find(aField);
  if (found == mObject.end()) {
    if (aRequired) {
      Reject(aField, "missing");
    }
    return nullptr;
  }
  return &*found;
}

std::string json_reader::String(const char* aField, size_t aMaxBytes, bool aRequired)
{
  const auto* value = FindField(aField, aRequired);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_string()) {
    Reject(aField, "expected a string");
    return {};
  }
  auto text = value->get<std::string>();
  if (text.size() > aMaxBytes || (aRequired && text.empty())) {
    Reject(aField, "expected 1 to " + std::to_string(aMaxBytes) + " bytes");
  }
  return text;
}

int64_t json_reader::Integer(const char* aField,
                             int64_t aMin,
                             int64_t aMax,
                             std::optional<int64_t> aDefault)
{
  const auto* value = FindField(aField, !aDefault);
  if (value == nullptr) {
    return aDefault.value_or(aMin);
  }
  const bool tooLarge = value->is_number_unsigned() &&
                        value->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX);
  if (!value->is_number_integer() || tooLarge || value->get<int64_t>() < aMin ||
      value->get<int64_t>() > aMax) {
    Reject(aField,
           "expected an integer from " + std::to_string(aMin) + " to " +
             std::to_string(aMax));
    return aMin;
  }
  return value->get<int64_t>();
}

bool json_reader::Boolean(const char* aField, bool aDefault)
{
  const auto* value = FindField(aField, false);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_boolean()) {
    Reject(aField, "expected true or false");
    return aDefault;
  }
  return value->get<bool>();
}

size_t json_reader::Choice(const char* aField,
                           const std::vector<std::string>& aChoices,
                           std::optional<size_t> aDefault)
{
  const auto* value = FindField(aField, !aDefault);
  if (value == nullptr) {
    return aDefault.value_or(0);
  }
  const auto text = value->is_string() ? value->get<std::string>() : std::string();
  const auto found = std::find(aChoices.begin(), aChoices.end(), text);
  if (found != aChoices.end()) {
    return static_cast<size_t>(found - aChoices.begin());
  }
  std::string expected;
  for (const auto& choice : aChoices) {
    expected += (expected.empty() ? "" : ", ") + choice;
  }
  Reject(aField, "expected one of " + expected);
  return 0;
}

nlohmann::json json_reader::RawValue(const char* aField)
{
  const auto* value = FindField(aField, false);
  return value == nullptr ? nlohmann::json() : *value;
}

std::vector<json_reader> json_reader::Objects(const char* aField, size_t aMax)
{
  std::vector<json_reader> readers;
  const auto* value = FindField(aField, false);
  if (value == nullptr) {
    return readers;
  }
  if (!value->is_array() || value->size() > aMax) {
    Reject(aField, "expected an array of objects, at most " + std::to_string(aMax));
    return readers;
  }
  for (const auto& item : *value) {
    readers.emplace_back(item, mStep);
  }
  return readers;
}

std::vector<std::pair<std::string, json_reader>> json_reader::Members(
  const char* aField)
{
  std::vector<std::pair<std::string, json_reader>> members;
  const auto* value = FindField(aField, false);
  if (value == nullptr) {
    return members;
  }
  if (!value->is_object()) {
    Reject(aField, "expected an object");
    return members;
  }
  for (const auto& item : value->items()) {
    members.emplace_back(item.key(), json_reader(item.value(), mStep));
  }
  return members;
}

status json_reader::Finish()
{
  if (mObject.is_object()) {
    for (const auto& item : mObject.items()) {
      if (std::find(mReadFields.begin(), mReadFields.end(), item.key()) ==
          mReadFields.end()) {
        Reject(item.key(), "unknown field");
      }
    }
  }
  if (mError) {
    return tl::unexpected<error>(*mError);
  }
  return {};
}

} // namespace anvildoor
