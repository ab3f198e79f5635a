import process from 'node:process';
import {Command, Option} from 'clipanion';
import {
	definitionsOf,
	flagOf,
	formatSettings,
	type FlagTexts,
} from '../settings/settings.js';
import type {Role, SettingsResult} from '../settings/types.js';

/** Exit codes of `balsamtrayd`. */
export const exitCodes = {
	success: 0,
	failure: 1,
	/** The settings are invalid. */
	usage: 2,
} as const;

/** Returns a role's command-line options, one for each setting that may be set by a flag. */
function optionsOf(role: Role): Readonly<Record<string, unknown>> {
	const definitions = Object.entries(definitionsOf(role));
	return Object.fromEntries(
		definitions
			.filter(([, definition]) => definition.isSecret !== true)
			.map(([name, definition]) => [
				name,
				Option.String(flagOf(name), {
					description: `${definition.description} (${definition.form})`,
				}),
			]),
	);
}

/** Base class of the commands that start a role. Reads, checks and prints the settings. */
export abstract class RoleCommand<
	T extends Readonly<Record<string, unknown>>,
> extends Command {
	readonly isCheckOnly = Option.Boolean('--check-settings', false, {
		description: 'Check the settings, print them and exit',
	});

	protected constructor(private readonly _role: Role) {
		super();
		// Clipanion looks for a command's options in its own properties.
		Object.assign(this, optionsOf(_role));
	}

	override async execute(): Promise<number> {
		const result = this.readSettings(this._readFlagTexts(), process.env);
		for (const warning of result.warnings) {
			this.context.stderr.write(`warning: ${warning}\n`);
		}

		if (result.kind === 'faulty') {
			for (const fault of result.faults) {
				this.context.stderr.write(`${fault.setting} ${fault.message}\n`);
			}

			return exitCodes.usage;
		}

		if (this.isCheckOnly) {
			this._print(result.settings);
			return exitCodes.success;
		}

		return this.run(result.settings);
	}

	protected abstract readSettings(
		flags: FlagTexts,
		env: Readonly<Record<string, string | undefined>>,
	): SettingsResult<T>;

	/** Runs the role until a signal stops it. Returns the exit code. */
	protected abstract run(settings: T): Promise<number>;

	private _readFlagTexts(): FlagTexts {
		const names = Object.keys(definitionsOf(this._role));
		const own = Object.entries(this).filter(
			([name, value]) => names.includes(name) && typeof value === 'string',
		);
		return Object.fromEntries(own);
	}

	private _print(settings: T): void {
		for (const [name, value] of formatSettings(this._role, settings)) {
			this.context.stdout.write(`${name}=${value}\n`);
		}
	}
}
