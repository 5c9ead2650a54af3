# gcw_library(NAME DEPS lib...): builds src/NAME/*.cc as gcw_NAME, the test
# program gcw_NAME_tests from tests/NAME/*.cc and one benchmark program for
# each bench/NAME_*.cc.
function(gcw_library name)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${name}/*.cc)
  add_library(gcw_${name} STATIC ${sources})
  target_link_libraries(gcw_${name} PUBLIC ${ARG_DEPS})

  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${name}/*.cc)
  if(tests AND BUILD_TESTING)
    add_executable(gcw_${name}_tests ${tests})
    target_link_libraries(gcw_${name}_tests PRIVATE gcw_${name} gcw_test_main)
    target_compile_definitions(gcw_${name}_tests PRIVATE
      GCW_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
      GCW_BIN_DIR="${CMAKE_RUNTIME_OUTPUT_DIRECTORY}")
    add_test(NAME ${name} COMMAND gcw_${name}_tests)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
  endif()

  file(GLOB benches CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/bench/${name}_*.cc)
  file(GLOB others RELATIVE ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR}/src/${name}_*)
  foreach(bench ${benches})
    get_filename_component(bench_name ${bench} NAME_WE)
    # One of a library whose name only begins with this one's.
    set(foreign FALSE)
    foreach(other ${others})
      if(bench_name MATCHES "^${other}_")
        set(foreign TRUE)
      endif()
    endforeach()
    if(foreign)
      continue()
    endif()
    add_executable(bench_${bench_name} ${bench})
    target_link_libraries(bench_${bench_name} PRIVATE gcw_${name} benchmark::benchmark)
  endforeach()
endfunction()

# gcw_program(NAME DEPS lib...): builds the *.cc beside the calling list file.
function(gcw_program name)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS})
endfunction()

if(BUILD_TESTING)
  add_library(gcw_test_main STATIC ${CMAKE_SOURCE_DIR}/tests/support/test_main.cc)
  target_link_libraries(gcw_test_main PUBLIC Catch2::Catch2)
endif()
