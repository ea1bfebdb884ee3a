#pragma once

#include "anvildoor/Error.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace anvildoor {

/**
 * Reads the fields of one JSON object and keeps the first error, which names the field.
 * Fields that were never read are errors as well. Not thread-safe: all calls come from
 * one thread.
 */
class json_reader
{
public:
  /** aStep names the operation in errors. */
  json_reader(nlohmann::json aObject, std::string aStep);

  /** Parses aText, which must be one JSON object. */
  static json_reader Parse(const std::string& aText, std::string aStep);

  /**
   * Returns a string of at most aMaxBytes. It is an error if a required field is
   * missing or empty.
   */
  std::string String(const char* aField, size_t aMaxBytes, bool aRequired = true);

  /** Returns an integer within [aMin, aMax]. */
  int64_t Integer(const char* aField,
                  int64_t aMin,
                  int64_t aMax,
                  std::optional<int64_t> aDefault = std::nullopt);

  bool Boolean(const char* aField, bool aDefault);

  /** Returns the index of the field's text in aChoices. */
  size_t Choice(const char* aField,
                const std::vector<std::string>& aChoices,
                std::optional<size_t> aDefault = std::nullopt);

  /** Returns the JSON value of the field, or null if it is missing. */
  nlohmann::json RawValue(const char* aField);

  /** Returns readers for the elements of an array of at most aMax objects. */
  std::vector<json_reader> Objects(const char* aField, size_t aMax);

  /** Returns readers for the members of an object of objects, with their names. */
  std::vector<std::pair<std::string, json_reader>> Members(const char* aField);

  /** Records an error found by the caller. */
  void Reject(const std::string& aField, const std::string& aMessage);

  /** Returns the first error, including unknown fields. Must be the last call. */
  status Finish();

private:
  const nlohmann::json* FindField(const char* aField, bool aRequired);

  nlohmann::json mObject;
  std::string mStep;
  std::vector<std::string> mReadFields;
  std::optional<error> mError;
};

} // namespace anvildoor
