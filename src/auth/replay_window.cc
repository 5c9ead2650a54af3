#include "gcw/auth/replay_window.h"

#include <algorithm>
#include <bitset>
#include <cstdint>

#include "absl/container/flat_hash_map.h"

namespace gcw::auth {
namespace {

constexpr std::size_t kWindowBits = 1024;

Error Replayed(const char* message) {
  return Error{ResultCode::kReplayed, "", message};
}

// The sequence numbers of one sender: the highest one, and which of the
// kWindowBits numbers up to it have arrived. Sequence number s is represented
// by bit s mod kWindowBits of `seen`.
struct SenderWindow {
  std::uint64_t highest = 0;
  absl::Time last_heard;
  std::bitset<kWindowBits> seen;

  // Makes `sequence` the highest number and clears the bits of the numbers that
  // it skips, which still stand for older numbers.
  void Advance(std::uint64_t sequence) {
    if (sequence - highest >= kWindowBits) {
      seen.reset();
    } else {
      for (std::uint64_t s = highest + 1; s < sequence; ++s) {
        seen.reset(s % kWindowBits);
      }
    }
    highest = sequence;
    seen.set(sequence % kWindowBits);
  }

  bool Accept(std::uint64_t sequence) {
    if (sequence > highest) {
      Advance(sequence);
      return true;
    }
    if (highest - sequence >= kWindowBits ||
        seen.test(sequence % kWindowBits)) {
      return false;
    }
    seen.set(sequence % kWindowBits);
    return true;
  }
};

}  // namespace

struct ReplayWindow::State {
  Options options;
  absl::flat_hash_map<SenderId, SenderWindow> senders;
  std::uint64_t refused_messages = 0;

  // Makes room for a new sender if the window is full. Until an evicted sender
  // is heard from again, only the timestamp check protects against replays of
  // its messages, as after a restart of the receiver.
  void EvictOldestSender() {
    if (senders.size() < options.max_senders) {
      return;
    }
    const auto oldest = std::min_element(
        senders.begin(), senders.end(), [](const auto& a, const auto& b) {
          return a.second.last_heard < b.second.last_heard;
        });
    senders.erase(oldest);
  }
};

ReplayWindow::ReplayWindow() : ReplayWindow(Options()) {}

ReplayWindow::ReplayWindow(const Options& options)
    : state_(std::make_unique<State>()) {
  state_->options = options;
}

ReplayWindow::~ReplayWindow() = default;
ReplayWindow::ReplayWindow(ReplayWindow&&) noexcept = default;
ReplayWindow& ReplayWindow::operator=(ReplayWindow&&) noexcept = default;

Status ReplayWindow::Accept(const VerifiedMessage& message, absl::Time now) {
  const absl::Duration skew = absl::AbsDuration(now - message.sent);
  if (skew > state_->options.max_skew) {
    ++state_->refused_messages;
    return Replayed("the timestamp differs too much from the receiver's clock");
  }
  auto it = state_->senders.find(message.sender);
  if (it == state_->senders.end()) {
    state_->EvictOldestSender();
    it = state_->senders.try_emplace(message.sender).first;
  }
  if (!it->second.Accept(message.sequence)) {
    ++state_->refused_messages;
    return Replayed("the sequence number was seen before or is too old");
  }
  it->second.last_heard = now;
  return OkStatus();
}

std::uint64_t ReplayWindow::refused_messages() const {
  return state_->refused_messages;
}

}  // namespace gcw::auth
