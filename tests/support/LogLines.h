#pragma once

#include "support/FakeInstallation.h"

#include <string>

namespace anvildoor {

/**
 * Returns the first line of the event that contains aText; empty if none does. Not
 * thread-safe.
 */
std::string FindLine(const fake_installation& aSite,
                     const std::string& aEvent,
                     const std::string& aText = "");

/** Returns the number of lines of the event. Not thread-safe. */
size_t CountEvents(const fake_installation& aSite, const std::string& aEvent);

/**
 * Returns an unquoted field of a log line; empty if the line does not have it.
 * Thread-safe.
 */
std::string Field(const std::string& aLine, const std::string& aKey);

/** Like Field, as a number. Throws std::invalid_argument if there is none. */
int64_t Number(const std::string& aLine, const std::string& aKey);

} // namespace anvildoor
