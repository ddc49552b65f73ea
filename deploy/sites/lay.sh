#!/bin/sh
# Lays the bench's own files beside these deployments, from a folder that has them: lay.sh KIT/more/node/sites
# They are not part of the repository.
set -eu
from=${1:?"usage: lay.sh FOLDER-WITH-real.json-wire.json-unlock.txt"}
here=$(dirname "$0")
for f in real.json wire.json unlock.txt; do
  cp "$from/$f" "$here/$f"
done
