#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need, unless all are installed. Must run as root.
set -euo pipefail
packages=(
  build-essential cmake ninja-build ccache clang clang-format clang-tidy curl bc
  libpoco-dev libcereal-dev libboost-dev libtomlplusplus-dev libdocopt-dev libspdlog-dev libfmt-dev
  libabsl-dev catch2 libtrompeloeil-cpp-dev librapidcheck-dev libxxhash-dev libbenchmark-dev
)
if dpkg-query -W -f '${Status}\n' "${packages[@]}" 2>/dev/null | grep -vq 'install ok installed' ||
   ! dpkg-query -W "${packages[@]}" >/dev/null 2>&1; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${packages[@]}" >/dev/null
fi
