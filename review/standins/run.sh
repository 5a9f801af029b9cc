# Runs a case: its folder and program. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. With TROUBLE=0 there is no disruption.
run_case() {
    cd "$1/../.." || exit 2
    [ -x target/release/coltsfootd ] && [ -x "target/review/$2" ] || exit 2
    folder=$(mktemp -d) || exit 2
    timeout -k 2 115 "target/review/$2" target/release/coltsfootd "$1/record.txt" "$folder"
    status=$?
    for id in "$folder"/*/id; do
        [ -f "$id" ] && kill -9 "$(cat "$id")"
    done
    rm -rf "$folder"
    case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
}
