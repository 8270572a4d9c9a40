#!/usr/bin/env bash
# Regenerates the committed Thrift code.
set -eu
cd "$(dirname "$0")/../libraries/inner_protocol"
rm -rf generated && mkdir generated
thrift --gen cpp:no_skeleton -out generated jasminepier.thrift
rm -f generated/*.skeleton.cpp
