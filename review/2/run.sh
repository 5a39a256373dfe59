#!/usr/bin/env bash
exec "$(dirname "$0")/../play" 2
