# trefoil_package(NAME DEPS ...) makes one library of the .cc files of a folder, a test program
# of its *_test.cc files and a benchmark program of its *_benchmark.cc files.
#
# A folder with headers only becomes an interface library.

# Every property test draws its cases from this seed, so that a run gives the same verdict each time.
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

# trefoil_program(NAME SOURCE DEPS ...) makes one program of one source file.
function(trefoil_program aName aSource)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  add_executable(${aName} ${aSource})
  target_link_libraries(${aName} ${ARG_DEPS})
endfunction()
