# Links the wrappers of tests/support/tsan_mutex.cc into every program, and routes
# the calls of our code to the system's Abseil through them.
add_library(gcw_tsan_mutex OBJECT ${CMAKE_SOURCE_DIR}/tests/support/tsan_mutex.cc)
foreach(symbol
    _ZN4absl7debian35Mutex4LockEv
    _ZN4absl7debian35Mutex6UnlockEv
    _ZN4absl7debian35Mutex5AwaitERKNS0_9ConditionE
    _ZN4absl7debian35Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE
    _ZN4absl7debian37CondVar16WaitWithDeadlineEPNS0_5MutexENS0_4TimeE
    _ZN4absl7debian312Notification6NotifyEv
    _ZNK4absl7debian312Notification19WaitForNotificationEv)
  add_link_options(-Wl,--wrap=${symbol})
endforeach()
link_libraries($<TARGET_OBJECTS:gcw_tsan_mutex>)
