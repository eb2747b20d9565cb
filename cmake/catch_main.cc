// Defines the main function of all test programs.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
