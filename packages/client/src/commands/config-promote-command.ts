import {Command, Option} from 'clipanion';
import {readDocumentFile} from '../document-file.js';
import {createOperatorClient, type OperatorClient} from '../operator-client.js';
import {readConnection, trialVariables} from '../settings.js';
import {ChangeCommand} from './change-command.js';

/** Applies the document that runs in a trial environment. */
export class ConfigPromoteCommand extends ChangeCommand {
	static override readonly paths = [['config', 'promote']];

	static override readonly usage = Command.Usage({
		category: 'Configuration',
		description:
			'Apply a document that runs unchanged in the trial environment',
		details:
			'The trial environment is set by BALSAMTRAY_TRIAL_OPERATOR_URL (or --from) and BALSAMTRAY_TRIAL_OPERATOR_KEY or BALSAMTRAY_TRIAL_OPERATOR_KEY_FILE. A document with another digest than the trial has is not accepted.',
		examples: [
			[
				'Bring the tried document to production',
				'$0 config promote fleet.yaml --from http://192.0.2.7:7070',
			],
		],
	});

	readonly file = Option.String({name: 'FILE'});

	readonly from = Option.String('--from', {
		description: "URL of the trial environment's operators' port",
	});

	protected override async call(client: OperatorClient): Promise<number> {
		const {text, digest} = readDocumentFile(this.file);
		const trial = createOperatorClient(
			readConnection(this.context.env, trialVariables, this.from),
		);
		const tried = await trial.status.query();
		if (tried.documentDigest !== digest) {
			return this.reportChange({
				kind: 'digestMismatch',
				expected: tried.documentDigest,
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
			digest: tried.documentDigest,
			changeId: this.changeId,
			baseVersion: plan.baseVersion,
		});
		return this.reportChange(result);
	}
}
