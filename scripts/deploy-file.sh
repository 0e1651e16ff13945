# Reads deploy/system.toml for the scripts. Source it in the repository root.

# deploy_packages: the Debian packages that the build needs, one a line
deploy_packages() { sed -n '/^packages = \[/,/\]/p' deploy/system.toml | sed 's/#.*//' | grep -o '"[^"]*"' | tr -d '"'; }

# deploy_build: the build command
deploy_build() { sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml; }
