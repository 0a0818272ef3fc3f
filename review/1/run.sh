#!/usr/bin/env bash
exec "$(dirname "$0")/../play.sh" turned_away "$(dirname "$0")"
