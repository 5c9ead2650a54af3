#ifndef GCW_KERNEL_KERNEL_H_
#define GCW_KERNEL_KERNEL_H_

#include <memory>
#include <string>
#include <string_view>
#include <typeindex>
#include <utility>

#include "gcw/base/result.h"
#include "gcw/kernel/mailbox.h"

namespace gcw::kernel {

// The registry through which the services of one process find each other. A
// service is a named sink for messages of one type. All methods are
// thread-safe.
class Kernel {
 public:
  Kernel();
  ~Kernel();
  Kernel(const Kernel&) = delete;
  Kernel& operator=(const Kernel&) = delete;

  // Registers `sink` under `name`. Fails with kInternal if `name` is already
  // registered.
  template <typename T>
  Status Register(std::string_view name, std::shared_ptr<Sink<T>> sink) {
    return RegisterErased(name, typeid(T), std::move(sink));
  }

  // Returns the service registered under `name`. Fails with kNotFound if there
  // is none and with kInternal if the service takes messages of another type
  // than T.
  template <typename T>
  Result<std::shared_ptr<Sink<T>>> Find(std::string_view name) const {
    Result<std::shared_ptr<void>> found = FindErased(name, typeid(T));
    if (!found.ok()) {
      return found.error();
    }
    return std::static_pointer_cast<Sink<T>>(std::move(found).value());
  }

  // Removes `name` from the registry; does nothing if it is not registered.
  void Unregister(std::string_view name);

 private:
  class Impl;

  // Register and Find for a type-erased sink. `type` is the message type; Find
  // uses it to detect a lookup with another type.
  Status RegisterErased(std::string_view name,
                        std::type_index type,
                        std::shared_ptr<void> sink);
  Result<std::shared_ptr<void>> FindErased(std::string_view name,
                                           std::type_index type) const;

  std::unique_ptr<Impl> impl_;
};

}  // namespace gcw::kernel

#endif  // GCW_KERNEL_KERNEL_H_
