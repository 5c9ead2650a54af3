#include "src/daemon/settings_file.h"

#include <fmt/format.h>

#include <fstream>
#include <sstream>

namespace gcw::daemon {

Result<std::string> ReadSettingsFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    return Error{ResultCode::kSettingsUnreadable, "",
                 fmt::format("cannot read settings file '{}'", path)};
  }
  return text.str();
}

}  // namespace gcw::daemon
