#!/usr/bin/env bash
# A client's call: http.sh METHOD PORT PATH [BODY].  Prints "STATUS BODY".
exec 3<>"/dev/tcp/127.0.0.1/$2" || exit 1
body=${4:-}
{
    printf '%s %s HTTP/1.1\r\nHost: jobs.example\r\n' "$1" "$3"
    printf 'X-Credential: %s\r\nX-Deadline-Ms: 3000\r\n' "${API_KEY:-key}"
    printf 'Content-Type: application/json\r\n'
    printf 'Content-Length: %d\r\nConnection: close\r\n\r\n%s' "${#body}" \
        "$body"
} >&3
read -r _ status _ <&3 || exit 1
while read -r line <&3 && [ -n "${line%$'\r'}" ]; do :; done
printf '%s %s\n' "$status" "$(cat <&3)"
