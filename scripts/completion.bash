# Bash completion of the options and commands of all programs. Source this file to enable it.
_plank_complete() {
	local IFS=$'\n'
	COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -F _plank_complete plank-entry plank-gateway plankctl plank-timeline plank-dev plank-bench plank-soak
