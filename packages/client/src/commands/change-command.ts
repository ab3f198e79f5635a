import {randomUUID} from 'node:crypto';
import type {ChangeResult} from '@balsamtray/protocol';
import {Option} from 'clipanion';
import {describeChange, exitCodeOf} from '../change-report.js';
import {exitCodes} from '../exit-codes.js';
import {describePlan, isDestructive, type Plan} from '../plan-report.js';
import {OperatorCommand} from './operator-command.js';

/** Common part of the commands that change the configuration. */
export abstract class ChangeCommand extends OperatorCommand {
	readonly isYes = Option.Boolean('--yes', false, {
		description: 'Do it without a question',
	});

	/** Identifier of the change that this run makes, to recognise it after a lost answer. */
	protected readonly changeId = randomUUID();

	/** Prints a plan, and asks before it takes something away. Returns whether to go on. */
	protected async confirmPlan(plan: Plan): Promise<boolean> {
		if (!this.isJson) {
			this.context.stdout.write(`${describePlan(plan).join('\n')}\n`);
		}

		return (
			!isDestructive(plan) ||
			this.confirm('The plan takes something away.', this.isYes)
		);
	}

	/** Prints the outcome of a change and returns its exit code. */
	protected reportChange(
		result: ChangeResult,
		extraLines: readonly string[] = [],
		whole: unknown = result,
	): number {
		this.print(whole, [...describeChange(result), ...extraLines]);
		return exitCodeOf(result);
	}

	/** Says that the operator did not consent. */
	protected reportDeclined(): number {
		this.context.stderr.write('Nothing was changed.\n');
		return exitCodes.failure;
	}
}
