# Sourced by the run.sh of each case, which sets `number`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run.
cd "$(dirname "$0")/../.." || exit 2
root=$(pwd)
test="$root/target/review/case-$number"
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
if [ ! -x "$test" ] || [ -z "$run" ]; then
    echo "not run: build first (deploy/balancer.toml, review/build.sh)"
    exit 2
fi
tmp=$(mktemp -d) || exit 2
child=
# Ends what is left if this script is ended early.
clean_up() {
    [ -z "$child" ] || kill "$child" 2>/dev/null
    for file in "$tmp"/*.pid; do
        [ ! -f "$file" ] || kill -9 "$(cat "$file")" 2>/dev/null
    done
    rm -rf "$tmp"
}
trap 'clean_up; exit 2' INT TERM HUP
"$test" "$root" "$tmp" "$root/review/$number/record.txt" "$run" &
child=$!
wait "$child"
code=$?
rm -rf "$tmp"
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
