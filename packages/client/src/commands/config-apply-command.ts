import {formatFault} from '@balsamtray/protocol';
import {Command, Option, UsageError} from 'clipanion';
import * as t from 'typanion';
import {readDocumentFile} from '../document-file.js';
import type {OperatorClient} from '../operator-client.js';
import type {Plan} from '../plan-report.js';
import {ChangeCommand} from './change-command.js';

/** Applies a configuration document. */
export class ConfigApplyCommand extends ChangeCommand {
	static override readonly paths = [['config', 'apply']];

	static override readonly usage = Command.Usage({
		category: 'Configuration',
		description: 'Apply a document',
		details:
			'Plans the document, asks for confirmation if the plan is destructive, and applies the plan. If another operator has changed the configuration since the base version, nothing is applied and the command reports a conflict.',
		examples: [
			['Apply a document', '$0 config apply fleet.yaml'],
			['Apply an earlier plan', '$0 config apply fleet.yaml --base 412 --yes'],
		],
	});

	readonly file = Option.String({name: 'FILE'});

	readonly base = Option.String('--base', {
		description: 'Configuration version on which an earlier plan is based',
		validator: t.cascade(t.isNumber(), [t.isInteger(), t.isAtLeast(0)]),
	});

	protected override async call(client: OperatorClient): Promise<number> {
		const {text} = readDocumentFile(this.file);
		const plan = await this._plan(client, text);
		if (!(await this.confirmPlan(plan))) {
			return this.reportDeclined();
		}

		const result = await client.applyDocument.mutate({
			text,
			changeId: this.changeId,
			baseVersion: this.base ?? plan.baseVersion,
		});
		return this.reportChange(result);
	}

	private async _plan(client: OperatorClient, text: string): Promise<Plan> {
		const plan = await client.plan.mutate({text});
		if (plan.kind === 'invalid') {
			const faults = plan.faults.map(fault => formatFault(fault));
			throw new UsageError(faults.join('\n'));
		}

		return plan;
	}
}
