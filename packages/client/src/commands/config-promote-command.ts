import {Command, Option} from 'clipanion';
import {readDocumentFile} from '../document-file.js';
import {createOperatorClient, type OperatorClient} from '../operator-client.js';
import {readConnection, trialVariables} from '../settings.js';
import {ChangeCommand} from './change-command.js';

/** Applies the document that is in force in the trial environment. */
export class ConfigPromoteCommand extends ChangeCommand {
	static override readonly paths = [['config', 'promote']];

	static override readonly usage = Command.Usage({
		category: 'Configuration',
		description: 'Apply the document that is in force in the trial environment',
		details:
			'BALSAMTRAY_TRIAL_OPERATOR_URL (or --from) and BALSAMTRAY_TRIAL_OPERATOR_KEY or BALSAMTRAY_TRIAL_OPERATOR_KEY_FILE select the trial environment. A document whose digest differs from the one in the trial environment is rejected.',
		examples: [
			[
				'Promote a document to production',
				'$0 config promote fleet.yaml --from http://192.0.2.7:7070',
			],
		],
	});

	readonly file = Option.String({name: 'FILE'});

	readonly from = Option.String('--from', {
		description:
			'URL of the operator API of the trial environment (BALSAMTRAY_TRIAL_OPERATOR_URL)',
	});

	protected override async call(client: OperatorClient): Promise<number> {
		const {text, digest} = readDocumentFile(this.file);
		const trial = createOperatorClient(
			readConnection(this.context.env, trialVariables, this.from),
		);
		const trialStatus = await trial.status.query();
		if (trialStatus.documentDigest !== digest) {
			return this.reportChange({
				kind: 'digestMismatch',
				expected: trialStatus.documentDigest,
				actual: digest,
			});
		}

		const plan = await client.plan.mutate({text});
		if (plan.kind === 'invalid') {
			return this.reportChange(plan);
		}

		if (!(await this.confirmPlan(plan))) {
			return this.reportDeclined();
		}

		const result = await client.promote.mutate({
			text,
			digest: trialStatus.documentDigest,
			changeId: this.changeId,
			baseVersion: plan.baseVersion,
		});
		return this.reportChange(result);
	}
}
