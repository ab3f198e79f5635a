/** Names of environment variables, packages and outside protocols, which are not ours to choose. */
const outsideName = String.raw`[_\-@\/ .]`;

/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['**/dist/**']},
	{
		files: ['**/*.{js,ts}'],
		prettier: 'compat',
		rules: {
			// The house style keeps the customary short names.
			'unicorn/prevent-abbreviations': 'off',
			// Prettier keeps an empty body on one line.
			'@stylistic/curly-newline': 'off',
			// The house style constructs by static `create` methods.
			'@typescript-eslint/no-empty-function': [
				'error',
				{allow: ['private-constructors']},
			],
			// XO's rule, but for properties that bear an outside name.
			'@typescript-eslint/naming-convention': [
				'error',
				{
					selector: [
						'variable',
						'function',
						'classProperty',
						'parameterProperty',
						'classMethod',
						'objectLiteralMethod',
						'typeMethod',
						'accessor',
					],
					format: ['strictCamelCase'],
					leadingUnderscore: 'allowSingleOrDouble',
					trailingUnderscore: 'allow',
				},
				{
					selector: 'objectLiteralProperty',
					format: ['strictCamelCase'],
					filter: {regex: outsideName, match: false},
				},
				{selector: 'typeLike', format: ['StrictPascalCase']},
				{
					selector: 'variable',
					types: ['boolean'],
					format: ['StrictPascalCase'],
					prefix: ['is', 'has', 'can', 'should', 'will', 'did'],
				},
			],
			// Clipanion declares the options of a command by calls such as `Option.String()`.
			'new-cap': [
				'error',
				{capIsNewExceptionPattern: String.raw`^(?:Option|Command)\.`},
			],
			// Tests stand in nested `describe` blocks of node:test, which return promises.
			'@typescript-eslint/no-floating-promises': [
				'error',
				{
					allowForKnownSafeCalls: [
						{
							from: 'package',
							name: ['describe', 'it', 'test', 'suite'],
							package: 'node:test',
						},
					],
				},
			],
		},
	},
	{
		files: ['packages/scenarios/src/steps/**/*.ts'],
		rules: {
			// Cucumber names its functions Given, When and Then, and hands them each part of a step.
			'new-cap': 'off',
			'max-params': 'off',
		},
	},
];

export default config;
