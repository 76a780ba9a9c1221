import * as commander from "commander";

import * as cliErrors from "../_lib/cliError.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

/** Adds `chiveferry completion bash`: prints a script that completes commands and options. */
export function addCompletionCommand(program: commander.Command, context: types.CliContext): void {
  program
    .command("completion <shell>")
    .description("print a completion script (bash)")
    .action((shell: string) => {
      if (shell !== "bash") {
        const message = `completion: expected "bash", found "${shell}"`;
        throw new cliErrors.CliError(message, constants.ExitCode.Usage);
      }
      context.writeOut(formatBashCompletion(program));
    });
}

/** Formats a bash completion function with the subcommands and options of each command. */
export function formatBashCompletion(program: commander.Command): string {
  const cases = listCommands(program, []).map(
    ({ path, words }) => `    "${path}") words="${words.join(" ")}" ;;\n`,
  );
  return `_chiveferry() {
  local path="" words="" word
  for word in "\${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case "$word" in -*) ;; *) path="\${path:+$path }$word" ;; esac
  done
  case "$path" in
${cases.join("")}  esac
  COMPREPLY=($(compgen -W "$words" -- "\${COMP_WORDS[COMP_CWORD]}"))
}
complete -F _chiveferry chiveferry
`;
}

interface CommandWords {
  readonly path: string;
  readonly words: readonly string[];
}

function listCommands(
  command: commander.Command,
  path: readonly string[],
): readonly CommandWords[] {
  const children = command.commands.map((child) => child.name());
  const options = command.options.flatMap((option) => option.long ?? []);
  const own = { path: path.join(" "), words: [...children, ...options, "--help"] };
  const below = command.commands.flatMap((child) => listCommands(child, [...path, child.name()]));
  return [own, ...below];
}
