import {Builtins, Cli, type BaseContext} from 'clipanion';
import {ConfigApplyCommand} from './commands/config-apply-command.js';
import {ConfigHistoryCommand} from './commands/config-history-command.js';
import {ConfigPlanCommand} from './commands/config-plan-command.js';
import {ConfigPromoteCommand} from './commands/config-promote-command.js';
import {ConfigStatusCommand} from './commands/config-status-command.js';
import {ConfigValidateCommand} from './commands/config-validate-command.js';
import {KeyIssueCommand} from './commands/key-issue-command.js';
import {KeyWithdrawCommand} from './commands/key-withdraw-command.js';
import {LoadCommand} from './commands/load-command.js';
import {ServerDrainCommand} from './commands/server-drain-command.js';
import {ServerUndrainCommand} from './commands/server-undrain-command.js';
import {StatusCommand} from './commands/status-command.js';
import {TraceCommand} from './commands/trace-command.js';
import {ZoneInCommand} from './commands/zone-in-command.js';
import {ZoneOutCommand} from './commands/zone-out-command.js';
import {exitCodes} from './exit-codes.js';
import type {Environment} from './settings.js';
import {suggestCommand} from './suggest-command.js';
import {clientVersion} from './version.js';

const commands = [
	ConfigValidateCommand,
	ConfigPlanCommand,
	ConfigApplyCommand,
	ConfigPromoteCommand,
	ConfigHistoryCommand,
	ConfigStatusCommand,
	KeyIssueCommand,
	KeyWithdrawCommand,
	ZoneOutCommand,
	ZoneInCommand,
	ServerDrainCommand,
	ServerUndrainCommand,
	StatusCommand,
	LoadCommand,
	TraceCommand,
];

/** Runs `balsamtray` with the given arguments and returns the exit code. */
export async function runClient(
	args: readonly string[],
	env: Environment,
	streams: Partial<Pick<BaseContext, 'stdin' | 'stdout' | 'stderr'>> = {},
): Promise<number> {
	const cli = createCli();
	const context = {...Cli.defaultContext, ...streams, env: {...env}};
	try {
		const command = cli.process([...args], context);
		return await cli.run(command, context);
	} catch (error) {
		context.stderr.write(cli.error(error));
		const suggestion = suggestCommand(args, commandPaths());
		if (suggestion !== undefined) {
			context.stderr.write(`Did you mean "balsamtray ${suggestion}"?\n`);
		}

		return exitCodes.usage;
	}
}

function createCli(): Cli {
	const cli = new Cli({
		binaryLabel: 'balsamtray',
		binaryName: 'balsamtray',
		binaryVersion: clientVersion,
		enableColors: false,
	});
	for (const command of [
		...commands,
		Builtins.HelpCommand,
		Builtins.VersionCommand,
	]) {
		cli.register(command);
	}

	return cli;
}

function commandPaths(): ReadonlyArray<readonly string[]> {
	return commands.flatMap(command => command.paths);
}
