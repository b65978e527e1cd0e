# Sets JAVA_HOME to a JDK of at least MIN_JDK; sourced by the other scripts.
MIN_JDK=21

jdk_major() {
    sed -n 's/^JAVA_VERSION="\([0-9]*\).*/\1/p' "$1/release" 2>/dev/null
}

choose_jdk() {
    local major best=0 found="" home
    if [ -n "${JAVA_HOME:-}" ]; then
        major=$(jdk_major "$JAVA_HOME")
        if [ "${major:-0}" -ge "$MIN_JDK" ] && [ -x "$JAVA_HOME/bin/javac" ]; then
            return 0
        fi
    fi
    local default_java
    default_java=$(readlink -f "$(command -v java || true)" || true)
    local parent="${default_java%/bin/java}"
    for home in "$parent" "${parent%/*}"/*; do
        [ -x "$home/bin/javac" ] || continue
        major=$(jdk_major "$home")
        if [ "${major:-0}" -ge "$MIN_JDK" ] && [ "$major" -gt "$best" ]; then
            best=$major
            found=$home
        fi
    done
    if [ -z "$found" ]; then
        echo "A JDK of version $MIN_JDK or later is needed; set JAVA_HOME to one." >&2
        exit 1
    fi
    export JAVA_HOME="$found"
}

choose_jdk
export PATH="$JAVA_HOME/bin:$PATH"
