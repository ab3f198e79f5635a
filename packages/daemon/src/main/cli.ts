import {Builtins, Cli, Command} from 'clipanion';
import {daemonVersion} from '../common/version.js';
import {
	readAgentSettings,
	readEntrySettings,
	type AgentProcessSettings,
	type Environment,
	type EntryProcessSettings,
	type FlagTexts,
} from '../settings/settings.js';
import {AgentProcess} from './agent-process.js';
import {EntryProcess} from './entry-process.js';
import {exitCodes, RoleCommand} from './role-command.js';

class EntryCommand extends RoleCommand<EntryProcessSettings> {
	static override readonly paths = [['entry']];
	static override readonly usage = Command.Usage({
		description: 'Serve callers and operators',
		details: `
			Every setting is a flag or an environment variable; the flag takes precedence.
			Operators' keys are read from BALSAMTRAY_OPERATOR_KEYS or from a file, never from a flag.
			The first SIGTERM or SIGINT drains, the second one stops at once.
		`,
		examples: [
			[
				'Check the settings without starting',
				'$0 entry --host-id gl-entry-1 --zone gl-a --check-settings',
			],
		],
	});

	constructor() {
		super('entry');
	}

	protected override readSettings(flags: FlagTexts, env: Environment) {
		return readEntrySettings(flags, env);
	}

	protected override async run(settings: EntryProcessSettings) {
		await EntryProcess.create(settings).run();
		return exitCodes.success;
	}
}

class AgentCommand extends RoleCommand<AgentProcessSettings> {
	static override readonly paths = [['agent']];
	static override readonly usage = Command.Usage({
		description: 'Run requests and adapter loads on one backend server',
		details: `
			Every setting is a flag or an environment variable; the flag takes precedence.
			The peer port acts as a lock: a second agent on the same host does not start.
			The first SIGTERM or SIGINT drains, the second one stops at once.
		`,
		examples: [
			[
				'Check the settings without starting',
				'$0 agent --host-id gl-a-1 --backend-kind engine --check-settings',
			],
		],
	});

	constructor() {
		super('agent');
	}

	protected override readSettings(flags: FlagTexts, env: Environment) {
		return readAgentSettings(flags, env);
	}

	protected override async run(settings: AgentProcessSettings) {
		await AgentProcess.create(settings).run();
		return exitCodes.success;
	}
}

/** Runs `balsamtrayd` with its arguments and returns the exit code. */
export async function runCli(args: readonly string[]): Promise<number> {
	const cli = Cli.from(
		[EntryCommand, AgentCommand, Builtins.HelpCommand, Builtins.VersionCommand],
		{
			binaryLabel: 'balsamtrayd',
			binaryName: 'balsamtrayd',
			binaryVersion: daemonVersion,
		},
	);
	return cli.run([...args], Cli.defaultContext);
}
