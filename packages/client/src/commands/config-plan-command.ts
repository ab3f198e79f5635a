import {formatFault} from '@balsamtray/protocol';
import {Command, Option} from 'clipanion';
import {readDocumentFile} from '../document-file.js';
import {exitCodes} from '../exit-codes.js';
import type {OperatorClient} from '../operator-client.js';
import {describePlan} from '../plan-report.js';
import {OperatorCommand} from './operator-command.js';

/** Shows the changes that applying a document would make. */
export class ConfigPlanCommand extends OperatorCommand {
	static override readonly paths = [['config', 'plan']];

	static override readonly usage = Command.Usage({
		category: 'Configuration',
		description: 'Show the changes that applying a document would make',
		examples: [['Plan a document', '$0 config plan fleet.yaml']],
	});

	readonly file = Option.String({name: 'FILE'});

	protected override async call(client: OperatorClient): Promise<number> {
		const {text} = readDocumentFile(this.file);
		const plan = await client.plan.mutate({text});
		if (plan.kind === 'invalid') {
			this.print(
				plan,
				plan.faults.map(fault => formatFault(fault)),
			);
			return exitCodes.usage;
		}

		this.print(plan, describePlan(plan));
		return exitCodes.success;
	}
}
