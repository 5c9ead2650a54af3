#ifndef REVIEW_STAND_INS_3_SITE_H_
#define REVIEW_STAND_INS_3_SITE_H_

#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <string>

#include "review/stand-ins-3/daemon.h"
#include "review/stand-ins-3/net.h"

namespace review3 {

// The loopback addresses and the ports of one run.
class Site {
 public:
  Site() {
    const auto process = static_cast<std::uint32_t>(getpid());
    net_ = 127u << 24 | (20 + process % 200) << 16 | (process / 200 % 200) << 8;
    // A port that is free at the first daemon's address stands for all.
    for (std::uint32_t i = 0; i < 50; ++i) {
      const auto base =
          static_cast<std::uint16_t>(20'000 + process % 100 * 100 + i * 10);
      const int udp = OpenSocket(SOCK_DGRAM, {Ip(1), base});
      const int tcp = OpenListener({Ip(1), base});
      close(udp);
      close(tcp);
      if (udp >= 0 && tcp >= 0) {
        ports_ = {base, static_cast<std::uint16_t>(base + 1),
                  static_cast<std::uint16_t>(base + 2),
                  static_cast<std::uint16_t>(base + 3),
                  static_cast<std::uint16_t>(base + 4)};
        break;
      }
    }
  }

  // One of the addresses of this run, by a number from 1 to 254.
  std::uint32_t Ip(std::uint32_t host) const { return net_ | host; }
  const Ports& ports() const { return ports_; }

 private:
  std::uint32_t net_ = 0;
  Ports ports_;
};

// A folder in the system's folder for temporary files, removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    const char* root = std::getenv("TMPDIR");
    std::string path =
        std::string(root == nullptr ? "/tmp" : root) + "/review3-XXXXXX";
    path_ = mkdtemp(path.data()) == nullptr ? "" : path;
  }
  ~TemporaryFolder() {
    if (!path_.empty() && std::getenv("KEEP") == nullptr) {
      (void)std::system(("rm -rf '" + path_ + "'").c_str());
    }
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace review3

#endif  // REVIEW_STAND_INS_3_SITE_H_
