# Completion of options and commands for the programs, for bash: source this file.
_plank_complete() {
	local IFS=$'\n'
	COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -F _plank_complete plank-entry plank-gateway plankctl plank-timeline plank-dev plank-bench plank-soak
