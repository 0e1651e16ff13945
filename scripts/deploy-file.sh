# Functions that read deploy/system.toml. Source this file in the repository root.

# Prints the Debian packages that the build needs, one per line.
deploy_packages() { sed -n '/^packages = \[/,/\]/p' deploy/system.toml | sed 's/#.*//' | grep -o '"[^"]*"' | tr -d '"'; }

# Prints the build command.
deploy_build() { sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml; }
