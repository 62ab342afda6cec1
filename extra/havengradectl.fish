# Print an optspec for argparse to handle cmd's options that are independent of any subcommand.
function __fish_havengradectl_global_optspecs
    string join \n vm= operator= format= h/help V/version
end

function __fish_havengradectl_needs_command
    # Figure out if the current invocation already has a command.
    set -l cmd (commandline -opc)
    set -e cmd[1]
    argparse -s (__fish_havengradectl_global_optspecs) -- $cmd 2>/dev/null
    or return
    if set -q argv[1]
        # Also print the command, so this can be used to figure out what it is.
        echo $argv[1]
        return 1
    end
    return 0
end

function __fish_havengradectl_using_subcommand
    set -l cmd (__fish_havengradectl_needs_command)
    test -z "$cmd"
    and return 1
    contains -- $cmd[1] $argv
end

complete -c havengradectl -n "__fish_havengradectl_needs_command" -l vm -d 'IP number and port of a VM for operators; any VM will do' -r
complete -c havengradectl -n "__fish_havengradectl_needs_command" -l operator -d 'Name of the operator' -r
complete -c havengradectl -n "__fish_havengradectl_needs_command" -l format -d 'How to print: for people or for programs' -r -f -a "table\t'Tables for people'
json\t'JSON for programs'"
complete -c havengradectl -n "__fish_havengradectl_needs_command" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c havengradectl -n "__fish_havengradectl_needs_command" -s V -l version -d 'Print version'
complete -c havengradectl -n "__fish_havengradectl_needs_command" -f -a "plan" -d 'Show what a change file would alter'
complete -c havengradectl -n "__fish_havengradectl_needs_command" -f -a "apply" -d 'Apply a change file, or a plan that was written before'
complete -c havengradectl -n "__fish_havengradectl_needs_command" -f -a "withdraw" -d 'Withdraw a version for good'
complete -c havengradectl -n "__fish_havengradectl_needs_command" -f -a "outcome" -d 'Tell what became of a change'
complete -c havengradectl -n "__fish_havengradectl_needs_command" -f -a "show" -d 'Show the items in force'
complete -c havengradectl -n "__fish_havengradectl_needs_command" -f -a "audit" -d 'Show the audit trail: every change, also those without effect'
complete -c havengradectl -n "__fish_havengradectl_needs_command" -f -a "status" -d 'Show the VMs and what each has in force'
complete -c havengradectl -n "__fish_havengradectl_needs_command" -f -a "drain" -d 'Make a VM finish what is in progress and stop'
complete -c havengradectl -n "__fish_havengradectl_needs_command" -f -a "explain" -d 'Read logs of one or more VMs from standard input and tell what became of a request'
complete -c havengradectl -n "__fish_havengradectl_needs_command" -f -a "hash-key" -d 'Make a key for a client account or an operator and print its digest'
complete -c havengradectl -n "__fish_havengradectl_needs_command" -f -a "extra" -d 'Write the manual page and the shell completions'
complete -c havengradectl -n "__fish_havengradectl_needs_command" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand plan" -l out -d 'Write the plan here, to be applied as it was reviewed' -r -F
complete -c havengradectl -n "__fish_havengradectl_using_subcommand plan" -l vm -d 'IP number and port of a VM for operators; any VM will do' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand plan" -l operator -d 'Name of the operator' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand plan" -l format -d 'How to print: for people or for programs' -r -f -a "table\t'Tables for people'
json\t'JSON for programs'"
complete -c havengradectl -n "__fish_havengradectl_using_subcommand plan" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand apply" -l planned -d 'Plan that `plan --out` wrote; refused if what it was made against has changed since' -r -F
complete -c havengradectl -n "__fish_havengradectl_using_subcommand apply" -l reason -d 'Why the change is made; the audit trail keeps it' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand apply" -l change-id -d 'Id of the change; give the same one again to repeat a change whose outcome is unknown' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand apply" -l vm -d 'IP number and port of a VM for operators; any VM will do' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand apply" -l operator -d 'Name of the operator' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand apply" -l format -d 'How to print: for people or for programs' -r -f -a "table\t'Tables for people'
json\t'JSON for programs'"
complete -c havengradectl -n "__fish_havengradectl_using_subcommand apply" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand withdraw" -l reason -d 'Why the change is made; the audit trail keeps it' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand withdraw" -l change-id -d 'Id of the change; give the same one again to repeat a change whose outcome is unknown' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand withdraw" -l vm -d 'IP number and port of a VM for operators; any VM will do' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand withdraw" -l operator -d 'Name of the operator' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand withdraw" -l format -d 'How to print: for people or for programs' -r -f -a "table\t'Tables for people'
json\t'JSON for programs'"
complete -c havengradectl -n "__fish_havengradectl_using_subcommand withdraw" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand outcome" -l vm -d 'IP number and port of a VM for operators; any VM will do' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand outcome" -l operator -d 'Name of the operator' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand outcome" -l format -d 'How to print: for people or for programs' -r -f -a "table\t'Tables for people'
json\t'JSON for programs'"
complete -c havengradectl -n "__fish_havengradectl_using_subcommand outcome" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand show" -l vm -d 'IP number and port of a VM for operators; any VM will do' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand show" -l operator -d 'Name of the operator' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand show" -l format -d 'How to print: for people or for programs' -r -f -a "table\t'Tables for people'
json\t'JSON for programs'"
complete -c havengradectl -n "__fish_havengradectl_using_subcommand show" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand audit" -l from -d 'Offset of the first entry' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand audit" -l limit -d 'Most entries' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand audit" -l vm -d 'IP number and port of a VM for operators; any VM will do' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand audit" -l operator -d 'Name of the operator' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand audit" -l format -d 'How to print: for people or for programs' -r -f -a "table\t'Tables for people'
json\t'JSON for programs'"
complete -c havengradectl -n "__fish_havengradectl_using_subcommand audit" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand status" -l vm -d 'IP number and port of a VM for operators; any VM will do' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand status" -l operator -d 'Name of the operator' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand status" -l format -d 'How to print: for people or for programs' -r -f -a "table\t'Tables for people'
json\t'JSON for programs'"
complete -c havengradectl -n "__fish_havengradectl_using_subcommand status" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand drain" -l vm -d 'IP number and port of a VM for operators; any VM will do' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand drain" -l operator -d 'Name of the operator' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand drain" -l format -d 'How to print: for people or for programs' -r -f -a "table\t'Tables for people'
json\t'JSON for programs'"
complete -c havengradectl -n "__fish_havengradectl_using_subcommand drain" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand explain" -l vm -d 'IP number and port of a VM for operators; any VM will do' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand explain" -l operator -d 'Name of the operator' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand explain" -l format -d 'How to print: for people or for programs' -r -f -a "table\t'Tables for people'
json\t'JSON for programs'"
complete -c havengradectl -n "__fish_havengradectl_using_subcommand explain" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand hash-key" -l secret -d 'Secret part of the key; a random one where absent' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand hash-key" -l vm -d 'IP number and port of a VM for operators; any VM will do' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand hash-key" -l operator -d 'Name of the operator' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand hash-key" -l format -d 'How to print: for people or for programs' -r -f -a "table\t'Tables for people'
json\t'JSON for programs'"
complete -c havengradectl -n "__fish_havengradectl_using_subcommand hash-key" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand extra" -l vm -d 'IP number and port of a VM for operators; any VM will do' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand extra" -l operator -d 'Name of the operator' -r
complete -c havengradectl -n "__fish_havengradectl_using_subcommand extra" -l format -d 'How to print: for people or for programs' -r -f -a "table\t'Tables for people'
json\t'JSON for programs'"
complete -c havengradectl -n "__fish_havengradectl_using_subcommand extra" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand help; and not __fish_seen_subcommand_from plan apply withdraw outcome show audit status drain explain hash-key extra help" -f -a "plan" -d 'Show what a change file would alter'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand help; and not __fish_seen_subcommand_from plan apply withdraw outcome show audit status drain explain hash-key extra help" -f -a "apply" -d 'Apply a change file, or a plan that was written before'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand help; and not __fish_seen_subcommand_from plan apply withdraw outcome show audit status drain explain hash-key extra help" -f -a "withdraw" -d 'Withdraw a version for good'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand help; and not __fish_seen_subcommand_from plan apply withdraw outcome show audit status drain explain hash-key extra help" -f -a "outcome" -d 'Tell what became of a change'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand help; and not __fish_seen_subcommand_from plan apply withdraw outcome show audit status drain explain hash-key extra help" -f -a "show" -d 'Show the items in force'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand help; and not __fish_seen_subcommand_from plan apply withdraw outcome show audit status drain explain hash-key extra help" -f -a "audit" -d 'Show the audit trail: every change, also those without effect'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand help; and not __fish_seen_subcommand_from plan apply withdraw outcome show audit status drain explain hash-key extra help" -f -a "status" -d 'Show the VMs and what each has in force'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand help; and not __fish_seen_subcommand_from plan apply withdraw outcome show audit status drain explain hash-key extra help" -f -a "drain" -d 'Make a VM finish what is in progress and stop'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand help; and not __fish_seen_subcommand_from plan apply withdraw outcome show audit status drain explain hash-key extra help" -f -a "explain" -d 'Read logs of one or more VMs from standard input and tell what became of a request'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand help; and not __fish_seen_subcommand_from plan apply withdraw outcome show audit status drain explain hash-key extra help" -f -a "hash-key" -d 'Make a key for a client account or an operator and print its digest'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand help; and not __fish_seen_subcommand_from plan apply withdraw outcome show audit status drain explain hash-key extra help" -f -a "extra" -d 'Write the manual page and the shell completions'
complete -c havengradectl -n "__fish_havengradectl_using_subcommand help; and not __fish_seen_subcommand_from plan apply withdraw outcome show audit status drain explain hash-key extra help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
