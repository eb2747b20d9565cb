// The main function of every test program.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
