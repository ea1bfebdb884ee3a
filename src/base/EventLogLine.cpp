#include "base/EventLog.h"

namespace anvildoor {

namespace {

std::string Quote(const std::string& aValue)
{
  if (!aValue.empty() && aValue.find_first_of(" \"=\n\r\t") == std::string::npos) {
    return aValue;
  }
  std::string quoted = "\"";
  for (const char character : aValue) {
    if (character == '"' || character == '\\') {
      quoted += '\\';
    }
    const bool control = static_cast<unsigned char>(character) < ' ';
    quoted += control ? ' ' : character;
  }
  return quoted + '"';
}

} // namespace

log_event::log_event(std::string aName)
{
  mFields.emplace_back("event", std::move(aName));
}

log_event& log_event::Add(const char* aKey, const std::string& aValue)
{
  mFields.emplace_back(aKey, aValue);
  return *this;
}

log_event& log_event::Add(const char* aKey, const char* aValue)
{
  return Add(aKey, std::string(aValue));
}

log_event& log_event::Add(const char* aKey, int64_t aValue)
{
  return Add(aKey, std::to_string(aValue));
}

std::string log_event::Line() const
{
  std::string line;
  for (const auto& [key, value] : mFields) {
    if (!line.empty()) {
      line += ' ';
    }
    line += key + '=' + Quote(value);
  }
  return line;
}

} // namespace anvildoor
