#ifndef GCW_DAEMON_SETTINGS_FILE_H_
#define GCW_DAEMON_SETTINGS_FILE_H_

#include <string>

#include "gcw/base/result.h"

namespace gcw::daemon {

// Returns the contents of the file at `path`. Fails with kSettingsUnreadable.
// Thread-safe.
Result<std::string> ReadSettingsFile(const std::string& path);

}  // namespace gcw::daemon

#endif  // GCW_DAEMON_SETTINGS_FILE_H_
