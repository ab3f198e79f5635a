import {formatFault, type ChangeResult} from '@balsamtray/protocol';
import {exitCodes} from './exit-codes.js';

/** Tells the outcome of a change in words. */
export function describeChange(result: ChangeResult): readonly string[] {
	switch (result.kind) {
		case 'accepted': {
			return [`accepted as version ${result.version}`];
		}

		case 'unchanged': {
			return [`nothing to change at version ${result.version}`];
		}

		case 'conflict': {
			const {version, author, summary} = result.winner;
			return [
				`not accepted: ${author} came first with version ${version} (${summary})`,
				'Plan again and apply the new plan.',
			];
		}

		case 'invalid': {
			return result.faults.map(fault => formatFault(fault));
		}

		case 'digestMismatch': {
			return [
				'not accepted: the document is not the one that was tried',
				`tried ${result.expected}`,
				`given ${result.actual}`,
			];
		}

		case 'unknownSubject': {
			return [`not accepted: there is no ${result.subject.replace(':', ' ')}`];
		}

		case 'unavailable': {
			return [
				`not accepted: ${result.message} (step ${result.step}, peer ${result.peer})`,
			];
		}

		case 'outcomeUnknown': {
			return [
				`outcome unknown: the store did not answer in time`,
				`Look for change ${result.changeId} in balsamtray config history.`,
			];
		}
	}
}

/** Exit code for the outcome of a change. */
export function exitCodeOf(result: ChangeResult): number {
	switch (result.kind) {
		case 'accepted':
		case 'unchanged': {
			return exitCodes.success;
		}

		case 'conflict': {
			return exitCodes.conflict;
		}

		case 'invalid':
		case 'unknownSubject': {
			return exitCodes.usage;
		}

		case 'digestMismatch': {
			return exitCodes.failure;
		}

		case 'unavailable': {
			return exitCodes.unreachable;
		}

		case 'outcomeUnknown': {
			return exitCodes.outcomeUnknown;
		}
	}
}
