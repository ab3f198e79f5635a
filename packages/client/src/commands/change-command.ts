import {randomUUID} from 'node:crypto';
import type {ChangeResult} from '@balsamtray/protocol';
import {Option} from 'clipanion';
import {describeChange, exitCodeOf} from '../change-report.js';
import {exitCodes} from '../exit-codes.js';
import {describePlan, isDestructive, type Plan} from '../plan-report.js';
import {OperatorCommand} from './operator-command.js';

/** Base class of the commands that change the configuration. */
export abstract class ChangeCommand extends OperatorCommand {
	readonly shouldSkipPrompt = Option.Boolean('--yes', false, {
		description: 'Skip the confirmation prompt',
	});

	/** Identifies the change of this run in the history if the response is lost. */
	protected readonly changeId = randomUUID();

	/** Prints a plan and asks for confirmation if it is destructive. Returns whether to apply it. */
	protected async confirmPlan(plan: Plan): Promise<boolean> {
		if (!this.isJson) {
			this.context.stdout.write(`${describePlan(plan).join('\n')}\n`);
		}

		return (
			!isDestructive(plan) ||
			this.confirm(
				'The plan contains destructive changes.',
				this.shouldSkipPrompt,
			)
		);
	}

	/** Prints the outcome of a change and returns its exit code. */
	protected reportChange(
		result: ChangeResult,
		extraLines: readonly string[] = [],
		jsonResult: unknown = result,
	): number {
		this.print(jsonResult, [...describeChange(result), ...extraLines]);
		return exitCodeOf(result);
	}

	/** Reports that the operator declined the change. */
	protected reportDeclined(): number {
		this.context.stderr.write('No changes were made.\n');
		return exitCodes.failure;
	}
}
