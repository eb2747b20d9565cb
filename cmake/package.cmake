# trefoil_package(NAME [DEPS ...] [TEST_DEPS ...]) adds the library trefoil_NAME from the .cc files
# of the current folder and its internal/ folder, the test program NAME_test from the *_test.cc
# files and the benchmark program NAME_benchmark from the *_benchmark.cc files. *_main.cc files are
# left out. DEPS are linked to the library, TEST_DEPS to the test program only.
#
# A folder without other .cc files becomes an interface library.

# All property tests use this fixed seed, so that their runs are repeatable.
set(TREFOIL_RC_PARAMS "seed=20261204" CACHE STRING "RapidCheck parameters of the test runs")

if(NOT TREFOIL_DAEMON_ONLY)
  add_library(trefoil_catch_main OBJECT ${CMAKE_SOURCE_DIR}/cmake/catch_main.cc)
endif()

function(trefoil_package aName)
  cmake_parse_arguments(ARG "" "" "DEPS;TEST_DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cc internal/*.cc)
  set(tests ${sources})
  set(benchmarks ${sources})
  list(FILTER tests INCLUDE REGEX "_test\\.cc$")
  list(FILTER benchmarks INCLUDE REGEX "_benchmark\\.cc$")
  list(FILTER sources EXCLUDE REGEX "_(test|benchmark|main)\\.cc$")
  if(sources)
    add_library(trefoil_${aName} STATIC ${sources})
    target_link_libraries(trefoil_${aName} PUBLIC ${ARG_DEPS})
  else()
    add_library(trefoil_${aName} INTERFACE)
    target_link_libraries(trefoil_${aName} INTERFACE ${ARG_DEPS})
  endif()
  if(tests AND NOT TREFOIL_DAEMON_ONLY)
    add_executable(${aName}_test ${tests})
    target_link_libraries(${aName}_test trefoil_${aName} trefoil_catch_main Catch2::Catch2
                          rapidcheck ${ARG_TEST_DEPS})
    add_test(NAME ${aName} COMMAND ${aName}_test)
    set_tests_properties(${aName} PROPERTIES ENVIRONMENT "RC_PARAMS=${TREFOIL_RC_PARAMS}"
                                             TIMEOUT 300)
  endif()
  if(benchmarks AND NOT TREFOIL_DAEMON_ONLY)
    add_executable(${aName}_benchmark ${benchmarks})
    target_link_libraries(${aName}_benchmark trefoil_${aName} benchmark::benchmark_main)
  endif()
endfunction()

# trefoil_program(NAME SOURCE DEPS ...) adds a program with one source file.
function(trefoil_program aName aSource)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  add_executable(${aName} ${aSource})
  target_link_libraries(${aName} ${ARG_DEPS})
endfunction()
