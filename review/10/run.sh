#!/usr/bin/env bash
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec timeout 118 python3 case.py
