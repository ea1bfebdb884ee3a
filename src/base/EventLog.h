#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace anvildoor {

/** A log event: a name and its fields in the order in which they were added. */
class log_event
{
public:
  explicit log_event(std::string aName);

  /**
   * Appends a field. Values that are empty or contain white space, quotes or equals
   * signs are quoted in the output.
   */
  log_event& Add(const char* aKey, const std::string& aValue);
  log_event& Add(const char* aKey, const char* aValue);
  log_event& Add(const char* aKey, int64_t aValue);

  /** Returns "event=name key=value ..." without line breaks. */
  std::string Line() const;

private:
  std::vector<std::pair<std::string, std::string>> mFields;
};

/** Destination of log events. Thread-safe. */
class event_log
{
public:
  virtual ~event_log() = default;

  /** Writes one event. Thread-safe. */
  void Write(const log_event& aEvent) { OnWrite(aEvent.Line()); }

protected:
  virtual void OnWrite(const std::string& aLine) = 0;
};

/** Writes events to glog at severity INFO. */
class glog_event_log : public event_log
{
protected:
  void OnWrite(const std::string& aLine) override;
};

} // namespace anvildoor
